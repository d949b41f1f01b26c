#include "banyanknot/coordination/query/budget_retry_policy.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

constexpr double kMinCapacity = 10;

double CapacityOf(const state::ServiceEntry& service) {
  return std::max(kMinCapacity, static_cast<double>(service.shards.size()));
}

}  // namespace

TokenBudget& BudgetRetryPolicy::BudgetOf(Account& account,
                                         const state::ServiceEntry& service) {
  if (!account.is_initialized) {
    account.is_initialized = true;
    account.budget = TokenBudget(CapacityOf(service));
  }
  return account.budget;
}

bool BudgetRetryPolicy::TryAcquire(const state::ServiceEntry& service) {
  return this->accounts.Update(service.id, [&service](Account& account) {
    return BudgetOf(account, service).TryAcquire();
  });
}

void BudgetRetryPolicy::RecordSuccesses(const state::ServiceEntry& service,
                                        std::size_t count) {
  const double amount = this->catalogue.FindFleetPolicy().retry_budget *
                        static_cast<double>(count);
  this->accounts.Update(service.id, [&service, amount](Account& account) {
    BudgetOf(account, service).Refill(amount, CapacityOf(service));
  });
}

}  // namespace banyanknot::coordination
