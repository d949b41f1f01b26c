#include "banyanknot/coordination/routing/hedge_delay_policy.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

/// Earlier hedges would only double the normal load.
constexpr state::Duration kMinHedgeDelay = state::Milliseconds(6);
/// Delay as a fraction 1/n of the objective while too few replies are known.
constexpr int kDefaultObjectiveDivisor = 3;
/// Maximum delay as a fraction 1/n of the objective, so that the hedge can
/// still reply in time.
constexpr int kMaxObjectiveDivisor = 2;

}  // namespace

state::Duration QuantileHedgeDelay::HedgeDelay(
    const state::Route& route) const {
  std::optional<state::Duration> quantile_time;
  this->times.ReadIfPresent(
      route.name, [this, &quantile_time](const ReplyTimeHistogram& times) {
        quantile_time = times.Quantile(this->quantile);
      });
  if (!quantile_time) return route.objective / kDefaultObjectiveDivisor;
  return std::clamp(
      *quantile_time, kMinHedgeDelay,
      std::max(kMinHedgeDelay, route.objective / kMaxObjectiveDivisor));
}

void QuantileHedgeDelay::RecordReplyTime(const state::Route& route,
                                         state::Duration time) {
  this->times.Update(route.name,
                     [time](ReplyTimeHistogram& times) { times.Add(time); });
}

}  // namespace banyanknot::coordination
