#include "banyanknot/coordination/routing/hedge_delay_policy.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

/// Shortest wait; below it a hedge only doubles ordinary work.
constexpr state::Duration kMinHedgeDelay = state::Milliseconds(6);
/// Of the objective, while too few replies are known.
constexpr int kDefaultObjectiveDivisor = 3;
/// Of the objective, at most: a hedge must come back in time too.
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
