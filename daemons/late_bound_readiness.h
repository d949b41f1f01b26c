#ifndef BANYANKNOT_DAEMONS_LATE_BOUND_READINESS_H_
#define BANYANKNOT_DAEMONS_LATE_BOUND_READINESS_H_

#include <atomic>

#include "banyanknot/coordination/readiness.h"

namespace banyanknot::daemons {

/// \brief Forwards to a Readiness that is set later; not ready until then.
///
/// Breaks the cycle between components that need a Readiness when they are
/// constructed and the Readiness that depends on them. Thread-safe.
class LateBoundReadiness : public coordination::Readiness {
 public:
  void Set(const coordination::Readiness& readiness) {
    this->readiness = &readiness;
  }
  bool IsReady() const override {
    const coordination::Readiness* current = this->readiness;
    return current != nullptr && current->IsReady();
  }

 private:
  std::atomic<const coordination::Readiness*> readiness{nullptr};
};

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_LATE_BOUND_READINESS_H_
