#ifndef BANYANKNOT_COORDINATION_QUERY_TOKEN_BUDGET_H_
#define BANYANKNOT_COORDINATION_QUERY_TOKEN_BUDGET_H_

#include <algorithm>

namespace banyanknot::coordination {

/// \brief Token bucket that refills by a share of another count, not by time.
///
/// Not thread-safe; its user keeps it in a sharded table.
class TokenBudget {
 public:
  TokenBudget() = default;
  explicit TokenBudget(double initial) : tokens(initial) {}

  /// \brief Adds tokens.
  /// \param capacity maximum number of tokens
  void Refill(double amount, double capacity) {
    this->tokens = std::min(this->tokens + amount, capacity);
  }

  /// \brief Consumes one token.
  /// \returns false if less than one is left
  bool TryAcquire() {
    if (this->tokens < 1) return false;
    this->tokens -= 1;
    return true;
  }

 private:
  double tokens = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_TOKEN_BUDGET_H_
