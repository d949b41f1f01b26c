#include "banyanknot/coordination/fleet/rate_budget.h"

#include <algorithm>
#include <chrono>

namespace banyanknot::coordination {

RateBudget::RateBudget(const Clock& clock, RateLimits limits)
    : clock(clock),
      limits(limits),
      tokens(limits.burst_bytes),
      refilled_at(clock.Now()) {}

void RateBudget::Refill() {
  const state::TimePoint now = this->clock.Now();
  const double seconds =
      std::chrono::duration<double>(now - this->refilled_at).count();
  this->refilled_at = now;
  this->tokens = std::min(this->limits.burst_bytes,
                          this->tokens + seconds * limits.bytes_per_second);
}

bool RateBudget::TryTake(std::size_t bytes) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->Refill();
  if (this->tokens <= 0.0) return false;
  this->tokens -= static_cast<double>(bytes);
  this->total += bytes;
  return true;
}

void RateBudget::Charge(std::size_t bytes) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->Refill();
  this->tokens -= static_cast<double>(bytes);
  this->total += bytes;
}

std::uint64_t RateBudget::Total() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->total;
}

}  // namespace banyanknot::coordination
