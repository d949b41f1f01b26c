#ifndef BANYANKNOT_COORDINATION_QUERY_NO_RETRY_POLICY_H_
#define BANYANKNOT_COORDINATION_QUERY_NO_RETRY_POLICY_H_

#include <cstddef>

#include "banyanknot/coordination/query/retry_policy.h"

namespace banyanknot::coordination {

/// \brief Baseline: never retries.
class NoRetryPolicy : public RetryPolicy {
 public:
  bool TryAcquire(const state::ServiceEntry& /*service*/) override {
    return false;
  }
  void RecordSuccesses(const state::ServiceEntry& /*service*/,
                       std::size_t /*count*/) override {}
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_NO_RETRY_POLICY_H_
