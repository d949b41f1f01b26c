#ifndef BANYANKNOT_COORDINATION_ROUTING_RELAY_EFFECTS_H_
#define BANYANKNOT_COORDINATION_ROUTING_RELAY_EFFECTS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "banyanknot/coordination/routing/relay_answer.h"
#include "banyanknot/coordination/routing/tracked_server.h"

namespace banyanknot::coordination {

/// \brief One request to be sent to one server.
struct SendCommand {
  std::uint32_t attempt = 0;
  TrackedServerPtr server;
  state::TimePoint deadline;
};

/// \brief What a RelayRun asks its executor to do.
struct RelayEffects {
  std::vector<SendCommand> sends;
  std::vector<std::uint32_t> cancellations;      ///< attempts to be given up
  std::vector<state::ServiceId> capacity_waits;  ///< services with no room now
  std::vector<TrackedServerPtr> suspects;        ///< servers to be checked
  std::vector<state::ServiceId>
      freed_services;  ///< services that have room again
  std::optional<RelayAnswer> answer;
  std::optional<state::TimePoint> next_timer_at;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RELAY_EFFECTS_H_
