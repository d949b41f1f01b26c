#include "banyanknot/coordination/query/quantile_hedge_policy.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

// Budget that an idle service accumulates for a burst of stragglers.
constexpr double kMaxTokens = 20;
constexpr std::size_t kTimesPerRefresh = 64;
constexpr state::Duration kMinDelay = state::Milliseconds(1);

// Spends half of the budget on average and reserves the rest for random
// clusters of slow replies.
double EffectiveQuantile(const state::FleetPolicy& policy) {
  return std::max(policy.hedge_quantile, 1.0 - policy.hedge_budget / 2);
}

}  // namespace

std::optional<state::Duration> QuantileHedgePolicy::DelayOf(
    const state::ServiceId& service) {
  std::optional<state::Duration> delay;
  this->trackers.ReadIfPresent(
      service, [&delay](const Tracker& tracker) { delay = tracker.delay; });
  return delay;
}

bool QuantileHedgePolicy::TryAcquire(const state::ServiceId& service) {
  return this->trackers.Update(
      service, [](Tracker& tracker) { return tracker.budget.TryAcquire(); });
}

void QuantileHedgePolicy::RecordSent(const state::ServiceId& service,
                                     std::size_t count) {
  const double amount = this->catalogue.FindFleetPolicy().hedge_budget *
                        static_cast<double>(count);
  this->trackers.Update(service, [amount](Tracker& tracker) {
    tracker.budget.Refill(amount, kMaxTokens);
  });
}

void QuantileHedgePolicy::RecordReplyTimes(
    const state::ServiceId& service,
    const std::vector<state::Duration>& times) {
  if (times.empty()) return;
  const double quantile = EffectiveQuantile(this->catalogue.FindFleetPolicy());
  this->trackers.Update(service, [&times, quantile](Tracker& tracker) {
    for (const state::Duration time : times) tracker.times.Add(time);
    tracker.times_since_refresh += times.size();
    if (tracker.times_since_refresh < kTimesPerRefresh) return;
    tracker.times_since_refresh = 0;
    tracker.delay = tracker.times.Quantile(quantile);
    if (tracker.delay) tracker.delay = std::max(*tracker.delay, kMinDelay);
  });
}

}  // namespace banyanknot::coordination
