#include "banyanknot/coordination/routing/hedge_clock.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

/// Shortest wait; below it a hedge only doubles ordinary work.
constexpr state::Duration kLeastWait = state::Milliseconds(6);
/// Of the objective, while too few replies are known.
constexpr int kUnknownPart = 3;
/// Of the objective, at most: a hedge must come back in time too.
constexpr int kLatestPart = 2;

}  // namespace

state::Duration QuantileHedgeClock::HedgeAfter(
    const state::Route& route) const {
  std::optional<state::Duration> usual;
  this->times.ReadIfPresent(route.name,
                            [this, &usual](const ReplyTimeHistogram& times) {
                              usual = times.Quantile(this->quantile);
                            });
  if (!usual) return route.objective / kUnknownPart;
  return std::clamp(*usual, kLeastWait,
                    std::max(kLeastWait, route.objective / kLatestPart));
}

void QuantileHedgeClock::NoteReply(const state::Route& route,
                                   state::Duration time) {
  this->times.Update(route.name,
                     [time](ReplyTimeHistogram& times) { times.Add(time); });
}

}  // namespace banyanknot::coordination
