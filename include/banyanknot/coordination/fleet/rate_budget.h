#ifndef BANYANKNOT_COORDINATION_FLEET_RATE_BUDGET_H_
#define BANYANKNOT_COORDINATION_FLEET_RATE_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <mutex>

#include "banyanknot/coordination/clock.h"

namespace banyanknot::coordination {

/// \brief Rate and burst size of a RateBudget.
struct RateLimits {
  double bytes_per_second = 4'096.0;
  double burst_bytes = 2'097'152.0;
};

/// \brief Token bucket for the bytes of control traffic.
///
/// Thread-safe. Small messages are charged but never delayed; bulk transfers
/// wait until the bucket has recovered from both.
class RateBudget {
 public:
  RateBudget(const Clock& clock, RateLimits limits);

  /// \brief Consumes `bytes` if any token is left; the balance may go negative.
  /// \returns false if no token is left
  bool TryTake(std::size_t bytes);

  /// \brief Consumes `bytes` unconditionally; the balance may go negative.
  void Charge(std::size_t bytes);

  /// \brief Returns the bytes consumed since the start.
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
