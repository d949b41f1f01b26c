#ifndef BANYANKNOT_COORDINATION_QUERY_BUDGET_RETRY_POLICY_H_
#define BANYANKNOT_COORDINATION_QUERY_BUDGET_RETRY_POLICY_H_

#include <cstddef>

#include "banyanknot/coordination/query/retry_policy.h"
#include "banyanknot/coordination/query/token_budget.h"
#include "banyanknot/state/catalogue_table.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Limits retries to a share of recent successes, service by service.
///
/// Thread-safe. A service starts with, and saves up, at most one retry for
/// each of its shards, so that one query outlives the loss of a replica.
class BudgetRetryPolicy : public RetryPolicy {
 public:
  explicit BudgetRetryPolicy(const state::CatalogueTable& catalogue)
      : catalogue(catalogue) {}

  bool TryTake(const state::ServiceEntry& service) override;
  void OnSuccesses(const state::ServiceEntry& service,
                   std::size_t count) override;

 private:
  struct Account {
    TokenBudget budget;
    bool is_open = false;  // has had its first tokens
  };

  static TokenBudget& BudgetOf(Account& account,
                               const state::ServiceEntry& service);

  const state::CatalogueTable& catalogue;
  state::ShardedTable<state::ServiceId, Account> accounts;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_BUDGET_RETRY_POLICY_H_
