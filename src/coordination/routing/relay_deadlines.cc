#include "banyanknot/coordination/routing/relay_deadlines.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

/// Reserved for the answer's way back before the caller times out.
constexpr state::Duration kReplyMargin = state::Milliseconds(12);

}  // namespace

RelayDeadlines RelayDeadlines::Of(const state::RelayRequest& request,
                                  const state::Route& route) {
  const state::TimePoint start = request.received_at;
  const state::Duration caller_timeout =
      std::max(request.deadline - kReplyMargin, request.deadline / 2);
  RelayDeadlines deadlines;
  deadlines.hard = start + std::min(caller_timeout, route.timeout);
  const state::Duration outside_time =
      request.outside_time.value_or(RelayDeadlines::kDefaultOutsideTime);
  deadlines.soft =
      start + std::max(route.objective - outside_time, route.objective / 2);
  deadlines.soft = std::min(deadlines.soft, deadlines.hard);
  return deadlines;
}

}  // namespace banyanknot::coordination
