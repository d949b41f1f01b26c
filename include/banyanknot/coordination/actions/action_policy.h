#ifndef BANYANKNOT_COORDINATION_ACTIONS_ACTION_POLICY_H_
#define BANYANKNOT_COORDINATION_ACTIONS_ACTION_POLICY_H_

#include "banyanknot/coordination/actions/action_verdict.h"
#include "banyanknot/coordination/backend_client.h"
#include "banyanknot/state/sub_request.h"

namespace banyanknot::coordination {

/// \brief Classifies the result of one attempt.
///
/// Thread-safe, without side effects.
class ActionPolicy {
 public:
  virtual ~ActionPolicy() = default;
  virtual ActionVerdict Classify(const state::SubRequest& sent,
                                 const BackendResult& result) const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ACTIONS_ACTION_POLICY_H_
