#include "banyanknot/coordination/routing/relay_times.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

/// The caller's way here and back and the making of its connection, which
/// count for its objective but can't be seen from here.
constexpr state::Duration kCallerWay = state::Milliseconds(14);
/// Time kept for the way back before the caller gives up.
constexpr state::Duration kReturnTime = state::Milliseconds(12);

}  // namespace

RelayTimes RelayTimes::Of(const state::RelayRequest& request,
                          const state::Route& route) {
  const state::TimePoint start = request.received_at;
  const state::Duration patience =
      std::max(request.deadline - kReturnTime, request.deadline / 2);
  RelayTimes times;
  times.end = start + std::min(patience, route.timeout);
  times.due =
      start + std::max(route.objective - kCallerWay, route.objective / 2);
  times.due = std::min(times.due, times.end);
  return times;
}

}  // namespace banyanknot::coordination
