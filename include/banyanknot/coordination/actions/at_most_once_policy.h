#ifndef BANYANKNOT_COORDINATION_ACTIONS_AT_MOST_ONCE_POLICY_H_
#define BANYANKNOT_COORDINATION_ACTIONS_AT_MOST_ONCE_POLICY_H_

#include "banyanknot/coordination/actions/action_policy.h"

namespace banyanknot::coordination {

/// \brief Classifies an attempt as refused only if that is proven.
///
/// Proof is a failure before the first byte was written, or a reply that echoes
/// the attempt and reports a refusal before running. After the first byte,
/// anything but an echoing reply with a definite status is unknown.
class AtMostOncePolicy : public ActionPolicy {
 public:
  ActionVerdict Classify(const state::SubRequest& sent,
                         const BackendResult& result) const override;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ACTIONS_AT_MOST_ONCE_POLICY_H_
