#ifndef BANYANKNOT_COORDINATION_QUERY_RETRY_POLICY_H_
#define BANYANKNOT_COORDINATION_QUERY_RETRY_POLICY_H_

#include <cstddef>

#include "banyanknot/state/catalogue.h"

namespace banyanknot::coordination {

/// \brief Decides whether a failed attempt may be repeated.
///
/// Thread-safe. The only place where sub-requests are retried: neither the
/// transport nor another tier repeats one.
class RetryPolicy {
 public:
  virtual ~RetryPolicy() = default;

  /// \brief Takes one retry from the budget.
  /// \returns false if the budget is spent
  virtual bool TryTake(const state::ServiceEntry& service) = 0;

  /// \brief Tells that `count` attempts succeeded.
  virtual void OnSuccesses(const state::ServiceEntry& service,
                           std::size_t count) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_RETRY_POLICY_H_
