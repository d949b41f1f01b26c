#ifndef BANYANKNOT_COORDINATION_QUERY_BUDGET_RETRY_POLICY_H_
#define BANYANKNOT_COORDINATION_QUERY_BUDGET_RETRY_POLICY_H_

#include <cstddef>

#include "banyanknot/coordination/query/retry_policy.h"
#include "banyanknot/coordination/query/token_budget.h"
#include "banyanknot/state/catalogue_table.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Limits retries of each service to a share of its recent successes.
///
/// Thread-safe. A service starts with a full budget and saves up no more: one
/// retry per shard, so that one query survives the loss of a replica.
class BudgetRetryPolicy : public RetryPolicy {
 public:
  explicit BudgetRetryPolicy(const state::CatalogueTable& catalogue)
      : catalogue(catalogue) {}

  bool TryAcquire(const state::ServiceEntry& service) override;
  void RecordSuccesses(const state::ServiceEntry& service,
                       std::size_t count) override;

 private:
  struct Account {
    TokenBudget budget;
    bool is_initialized = false;  // holds its initial tokens
  };

  static TokenBudget& BudgetOf(Account& account,
                               const state::ServiceEntry& service);

  const state::CatalogueTable& catalogue;
  state::ShardedTable<state::ServiceId, Account> accounts;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_BUDGET_RETRY_POLICY_H_
