#include "banyanknot/coordination/query/quantile_hedge_policy.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

// Tokens that an idle service may save up for a burst of stragglers.
constexpr double kMaxTokens = 20;
constexpr std::size_t kTimesPerRefresh = 64;
constexpr state::Duration kMinDelay = state::Milliseconds(1);

// Leaves half of the budget for times that fall together by chance.
double QuantileOf(const state::FleetPolicy& policy) {
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

bool QuantileHedgePolicy::TryTake(const state::ServiceId& service) {
  return this->trackers.Update(
      service, [](Tracker& tracker) { return tracker.budget.TryTake(); });
}

void QuantileHedgePolicy::OnSent(const state::ServiceId& service,
                                 std::size_t count) {
  const double amount = this->catalogue.FindFleetPolicy().hedge_budget *
                        static_cast<double>(count);
  this->trackers.Update(service, [amount](Tracker& tracker) {
    tracker.budget.Refill(amount, kMaxTokens);
  });
}

void QuantileHedgePolicy::OnReplyTimes(
    const state::ServiceId& service,
    const std::vector<state::Duration>& times) {
  if (times.empty()) return;
  const double quantile = QuantileOf(this->catalogue.FindFleetPolicy());
  this->trackers.Update(service, [&times, quantile](Tracker& tracker) {
    for (const state::Duration time : times) tracker.times.Add(time);
    tracker.added += times.size();
    if (tracker.added < kTimesPerRefresh) return;
    tracker.added = 0;
    tracker.delay = tracker.times.Quantile(quantile);
    if (tracker.delay) tracker.delay = std::max(*tracker.delay, kMinDelay);
  });
}

}  // namespace banyanknot::coordination
