#ifndef BANYANKNOT_DAEMONS_LATE_READINESS_H_
#define BANYANKNOT_DAEMONS_LATE_READINESS_H_

#include <atomic>

#include "banyanknot/coordination/readiness.h"

namespace banyanknot::daemons {

/// \brief Asks another Readiness once there is one; not ready until then.
///
/// Thread-safe. Lets a part be constructed before the one that it asks.
class LateReadiness : public coordination::Readiness {
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

#endif  // BANYANKNOT_DAEMONS_LATE_READINESS_H_
