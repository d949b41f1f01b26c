#ifndef BANYANKNOT_COORDINATION_FLEET_TRUSTING_VIEW_GUARD_H_
#define BANYANKNOT_COORDINATION_FLEET_TRUSTING_VIEW_GUARD_H_

#include "banyanknot/coordination/view_guard.h"

namespace banyanknot::coordination {

/// \brief Always trusts the view: the baseline.
class TrustingViewGuard : public ViewGuard {
 public:
  ViewTrust Trust() override { return ViewTrust::kTrusted; }
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_FLEET_TRUSTING_VIEW_GUARD_H_
