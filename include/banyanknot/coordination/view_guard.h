#ifndef BANYANKNOT_COORDINATION_VIEW_GUARD_H_
#define BANYANKNOT_COORDINATION_VIEW_GUARD_H_

#include "banyanknot/coordination/view_freshness.h"

namespace banyanknot::coordination {

/// \brief Reports whether this host's view of the fleet is fresh.
///
/// Thread-safe. Called at each decision to start work, so that a process that
/// was paused detects this before it acts on outdated data.
/// \sa PauseDetector
class ViewGuard {
 public:
  virtual ~ViewGuard() = default;

  /// \brief Returns the freshness of the view at this moment.
  virtual ViewFreshness Freshness() = 0;

  /// \brief Returns whether new work may go to any failure domain.
  bool IsFresh() { return this->Freshness() == ViewFreshness::kFresh; }
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_VIEW_GUARD_H_
