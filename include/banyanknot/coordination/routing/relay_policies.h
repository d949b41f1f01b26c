#ifndef BANYANKNOT_COORDINATION_ROUTING_RELAY_POLICIES_H_
#define BANYANKNOT_COORDINATION_ROUTING_RELAY_POLICIES_H_

#include "banyanknot/coordination/routing/extra_request_budget.h"
#include "banyanknot/coordination/routing/hedge_clock.h"
#include "banyanknot/coordination/routing/return_planner.h"
#include "banyanknot/coordination/routing/server_picker.h"
#include "banyanknot/coordination/routing/wait_forecast.h"

namespace banyanknot::coordination {

/// \brief The decisions that all runs share.
struct RelayPolicies {
  ServerPicker& picker;
  ExtraRequestBudget& budget;
  HedgeClock& hedges;
  WaitForecast& waits;
  ReturnPlanner& returns;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RELAY_POLICIES_H_
