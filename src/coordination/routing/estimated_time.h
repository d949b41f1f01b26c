#ifndef BANYANKNOT_COORDINATION_ROUTING_ESTIMATED_TIME_H_
#define BANYANKNOT_COORDINATION_ROUTING_ESTIMATED_TIME_H_

#include "banyanknot/coordination/routing/server_observation.h"

namespace banyanknot::coordination {

/// \brief Estimates the time to reply to one more request.
/// \param others requests of other hosts at the server
inline state::Duration EstimatedTime(const ServerObservation& server,
                                     double others) {
  /// Added cost of a server that fails every request, in reply times.
  constexpr double kFailureFactor = 8;
  const double busy = (server.own_requests + others) / server.slots;
  return state::FromFractionalMilliseconds(
             state::ToFractionalMilliseconds(server.reply_time) * (1 + busy) *
             (1 + kFailureFactor * server.failure_share)) +
         server.added_time;
}

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_ESTIMATED_TIME_H_
