#include "banyanknot/coordination/routing/return_planner.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

/// Spread of returns where nothing is known: longer than a caller's way here
/// and back, shorter than a third of the shortest deadline in use.
constexpr std::int64_t kLeastReturnMs = 40;
constexpr std::int64_t kReturnSpreadMs = 120;
/// A forecast reaches no further: loads change within a second.
constexpr state::Duration kLongestReturn = state::Milliseconds(1'000);

}  // namespace

state::Duration SpreadReturns::ReturnAfter(const state::ServiceId& /*service*/,
                                           const ExpectedWait& /*expected*/,
                                           state::TimePoint /*now*/) {
  return state::Milliseconds(kLeastReturnMs +
                             static_cast<std::int64_t>(this->random.Below(
                                 static_cast<std::uint64_t>(kReturnSpreadMs))));
}

state::Duration PacedReturns::ReturnAfter(const state::ServiceId& service,
                                          const ExpectedWait& expected,
                                          state::TimePoint now) {
  const state::Duration soonest =
      this->spread.ReturnAfter(service, expected, now);
  if (expected.interval.count() == 0) return soonest;
  return this->last_turns.Update(service, [&](state::TimePoint& last_turn) {
    const state::TimePoint turn =
        std::max(now + expected.wait, last_turn + expected.interval);
    last_turn = std::min(turn, now + kLongestReturn);
    return std::max(soonest, last_turn - now);
  });
}

}  // namespace banyanknot::coordination
