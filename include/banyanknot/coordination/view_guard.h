#ifndef BANYANKNOT_COORDINATION_VIEW_GUARD_H_
#define BANYANKNOT_COORDINATION_VIEW_GUARD_H_

#include "banyanknot/coordination/view_freshness.h"

namespace banyanknot::coordination {

/// \brief Tells whether decisions may rest on this host's view of the fleet.
///
/// Thread-safe. Asked at each decision to start work, so that a process that
/// was paused notices it before it acts on what it knew earlier.
/// \sa PauseDetector
class ViewGuard {
 public:
  virtual ~ViewGuard() = default;

  /// \brief How far the view may be relied on at this moment.
  virtual ViewFreshness Freshness() = 0;

  /// \brief Tells whether new work may go to any failure domain.
  bool IsFresh() { return this->Freshness() == ViewFreshness::kFresh; }
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_VIEW_GUARD_H_
