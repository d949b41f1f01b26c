#ifndef BANYANKNOT_COORDINATION_ACTIONS_RETRY_ANY_FAILURE_POLICY_H_
#define BANYANKNOT_COORDINATION_ACTIONS_RETRY_ANY_FAILURE_POLICY_H_

#include "banyanknot/coordination/actions/action_policy.h"

namespace banyanknot::coordination {

/// \brief Classifies every failure as a refusal; the baseline, which may run an
/// action twice.
class RetryAnyFailurePolicy : public ActionPolicy {
 public:
  ActionVerdict Classify(const state::SubRequest& sent,
                         const BackendResult& result) const override;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ACTIONS_RETRY_ANY_FAILURE_POLICY_H_
