#ifndef BANYANKNOT_COORDINATION_FLEET_RATE_BUDGET_H_
#define BANYANKNOT_COORDINATION_FLEET_RATE_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <mutex>

#include "banyanknot/coordination/clock.h"

namespace banyanknot::coordination {

/// \brief Bounds of a RateBudget.
struct RateLimits {
  double bytes_per_second = 4'096.0;
  double burst_bytes = 2'097'152.0;
};

/// \brief Token bucket for the bytes that control sends.
///
/// Thread-safe. Small news is never held back, but is charged, so that bulk
/// waits for it.
class RateBudget {
 public:
  RateBudget(const Clock& clock, RateLimits limits);

  /// \brief Takes `bytes` if there is any budget left.
  /// \returns false if the budget is spent
  bool TryTake(std::size_t bytes);

  /// \brief Takes `bytes` whether or not the budget has them.
  void Charge(std::size_t bytes);

  /// \brief Bytes charged and taken since the start.
  std::uint64_t Total() const;

 private:
  void Refill();

  const Clock& clock;
  const RateLimits limits;
  mutable std::mutex mutex;
  double tokens;  // may be negative
  state::TimePoint refilled_at;
  std::uint64_t total = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_FLEET_RATE_BUDGET_H_
