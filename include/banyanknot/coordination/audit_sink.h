#ifndef BANYANKNOT_COORDINATION_AUDIT_SINK_H_
#define BANYANKNOT_COORDINATION_AUDIT_SINK_H_

#include <cstdint>
#include <string>

#include "banyanknot/coordination/audit_kind.h"

namespace banyanknot::coordination {

/// \brief One change, as reported to the audit trail.
struct AuditEvent {
  AuditKind kind = AuditKind::kEntryAccepted;
  std::string subject;             ///< entry key, server id or host id
  std::uint64_t revision = 0;      ///< 0 if there is none
  std::string owner;               ///< owner of the entry
  std::uint64_t content_hash = 0;  ///< of the entry; 0 if there is none
  std::string source;              ///< `platform`, a host id, or `local`
  std::string detail;              ///< what changed, and why
};

/// \brief Receives audit events.
///
/// Thread-safe.
class AuditSink {
 public:
  virtual ~AuditSink() = default;
  virtual void Append(const AuditEvent& event) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_AUDIT_SINK_H_
