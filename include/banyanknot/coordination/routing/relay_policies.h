#ifndef BANYANKNOT_COORDINATION_ROUTING_RELAY_POLICIES_H_
#define BANYANKNOT_COORDINATION_ROUTING_RELAY_POLICIES_H_

#include "banyanknot/coordination/random_source.h"
#include "banyanknot/coordination/routing/extra_request_budget.h"
#include "banyanknot/coordination/routing/hedge_clock.h"
#include "banyanknot/coordination/routing/server_picker.h"

namespace banyanknot::coordination {

/// \brief The decisions that all runs share.
struct RelayPolicies {
  ServerPicker& picker;
  ExtraRequestBudget& budget;
  HedgeClock& hedges;
  RandomSource& random;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RELAY_POLICIES_H_
