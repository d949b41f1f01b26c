#include "banyanknot/coordination/actions/retry_any_failure_policy.h"

namespace banyanknot::coordination {

ActionVerdict RetryAnyFailurePolicy::Classify(
    const state::SubRequest& /*sent*/, const BackendResult& result) const {
  const bool is_ok = state::IsOk(result) &&
                     state::ValueOf(result).status == state::ReplyStatus::kOk;
  return is_ok ? ActionVerdict::kRan : ActionVerdict::kRefused;
}

}  // namespace banyanknot::coordination
