#ifndef BANYANKNOT_TEST_COORDINATION_SUPPORT_RECORDING_AUDIT_SINK_H_
#define BANYANKNOT_TEST_COORDINATION_SUPPORT_RECORDING_AUDIT_SINK_H_

#include <cstddef>
#include <mutex>
#include <string>
#include <vector>

#include "banyanknot/coordination/audit_sink.h"

namespace banyanknot::coordination {

/// \brief Records audit events for inspection by tests.
class RecordingAuditSink : public AuditSink {
 public:
  void Append(const AuditEvent& event) override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->events.push_back(event);
  }

  std::size_t Count(AuditKind kind) const {
    std::size_t count = 0;
    for (const AuditEvent& event : this->Events()) {
      if (event.kind == kind) ++count;
    }
    return count;
  }

  std::vector<AuditEvent> Events() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->events;
  }

 private:
  mutable std::mutex mutex;
  std::vector<AuditEvent> events;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_TEST_COORDINATION_SUPPORT_RECORDING_AUDIT_SINK_H_
