#ifndef BANYANKNOT_COORDINATION_QUERY_RETRY_POLICY_H_
#define BANYANKNOT_COORDINATION_QUERY_RETRY_POLICY_H_

#include <cstddef>

#include "banyanknot/state/catalogue.h"

namespace banyanknot::coordination {

/// \brief Decides whether a failed attempt may be retried.
///
/// Thread-safe. Sub-requests are retried in this layer only, so that retries
/// don't multiply: neither the transport nor another tier retries them.
class RetryPolicy {
 public:
  virtual ~RetryPolicy() = default;

  /// \brief Consumes one token of the retry budget.
  /// \returns false if the budget is spent
  virtual bool TryAcquire(const state::ServiceEntry& service) = 0;

  /// \brief Records `count` successful attempts.
  virtual void RecordSuccesses(const state::ServiceEntry& service,
                               std::size_t count) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_RETRY_POLICY_H_
