#include "banyanknot/coordination/routing/relay_deadlines.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

/// A longer one was measured under retransmissions and says nothing of the
/// next.
constexpr state::Duration kMaxRoundTrip = state::Milliseconds(20);
/// Reserved for the answer's way back before the caller times out.
constexpr state::Duration kReplyMargin = state::Milliseconds(12);

}  // namespace

RelayDeadlines RelayDeadlines::Of(const state::RelayRequest& request,
                                  const state::Route& route,
                                  state::Duration answer_delay) {
  const state::TimePoint start = request.received_at;
  const state::Duration caller_timeout =
      std::max(request.deadline - kReplyMargin, request.deadline / 2);
  RelayDeadlines deadlines;
  deadlines.hard = start + std::min(caller_timeout, route.timeout);
  const state::Duration reserved =
      request.outside_time.value_or(RelayDeadlines::kDefaultOutsideTime) +
      answer_delay;
  deadlines.soft =
      start + std::max(route.objective - reserved, route.objective / 2);
  deadlines.soft = std::min(deadlines.soft, deadlines.hard);
  return deadlines;
}

state::Duration RelayDeadlines::OutsideTime(
    const state::CallerConnection& connection) {
  if (!connection.round_trip) return kDefaultOutsideTime;
  const state::Duration round_trip =
      std::min(*connection.round_trip, kMaxRoundTrip);
  return connection.is_new ? 2 * round_trip : round_trip;
}

}  // namespace banyanknot::coordination
