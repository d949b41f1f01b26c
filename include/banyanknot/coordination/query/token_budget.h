#ifndef BANYANKNOT_COORDINATION_QUERY_TOKEN_BUDGET_H_
#define BANYANKNOT_COORDINATION_QUERY_TOKEN_BUDGET_H_

#include <algorithm>

namespace banyanknot::coordination {

/// \brief Tokens that refill as a share of some other count.
///
/// Not thread-safe; lives in a sharded table.
class TokenBudget {
 public:
  TokenBudget() = default;
  explicit TokenBudget(double initial) : tokens(initial) {}

  /// \param capacity most tokens that are kept
  void Refill(double amount, double capacity) {
    this->tokens = std::min(this->tokens + amount, capacity);
  }

  /// \brief Takes one token.
  /// \returns false if there is less than one
  bool TryTake() {
    if (this->tokens < 1) return false;
    this->tokens -= 1;
    return true;
  }

 private:
  double tokens = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_TOKEN_BUDGET_H_
