#ifndef BANYANKNOT_COORDINATION_ROUTING_RELAY_POLICIES_H_
#define BANYANKNOT_COORDINATION_ROUTING_RELAY_POLICIES_H_

#include "banyanknot/coordination/routing/answer_delay.h"
#include "banyanknot/coordination/routing/extra_request_budget.h"
#include "banyanknot/coordination/routing/hedge_delay_policy.h"
#include "banyanknot/coordination/routing/queueing_delay_estimator.h"
#include "banyanknot/coordination/routing/retry_after_policy.h"
#include "banyanknot/coordination/routing/server_picker.h"

namespace banyanknot::coordination {

/// \brief The policies that all runs share.
struct RelayPolicies {
  ServerPicker& picker;
  ExtraRequestBudget& budget;
  HedgeDelayPolicy& hedges;
  QueueingDelayEstimator& delay_estimator;
  RetryAfterPolicy& retry_after;
  AnswerDelayPolicy& answer_delay;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RELAY_POLICIES_H_
