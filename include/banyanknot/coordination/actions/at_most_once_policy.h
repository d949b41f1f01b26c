#ifndef BANYANKNOT_COORDINATION_ACTIONS_AT_MOST_ONCE_POLICY_H_
#define BANYANKNOT_COORDINATION_ACTIONS_AT_MOST_ONCE_POLICY_H_

#include "banyanknot/coordination/actions/action_policy.h"

namespace banyanknot::coordination {

/// \brief Takes only a proof for a refusal.
///
/// A proof is a failure before the first byte was written, or a reply that
/// echoes the attempt and says that it was refused before running. All else
/// after the first byte is unknown, unless such a reply says that it ran.
class AtMostOncePolicy : public ActionPolicy {
 public:
  ActionVerdict Classify(const state::SubRequest& sent,
                         const BackendResult& result) const override;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ACTIONS_AT_MOST_ONCE_POLICY_H_
