#ifndef BANYANKNOT_COORDINATION_ROUTING_RELAY_EFFECTS_H_
#define BANYANKNOT_COORDINATION_ROUTING_RELAY_EFFECTS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "banyanknot/coordination/routing/relay_answer.h"
#include "banyanknot/coordination/routing/tracked_server.h"

namespace banyanknot::coordination {

/// \brief An attempt to be started.
struct SendCommand {
  std::uint32_t attempt = 0;
  TrackedServerPtr server;
  state::TimePoint deadline;
};

/// \brief A service whose capacity a part waits for.
struct CapacityWait {
  state::ServiceId service;
  /// When a server's back-off ends; nothing if capacity is only freed by other
  /// requests.
  std::optional<state::TimePoint> retry_at;
};

/// \brief Side effects that a RelayRun requests from its executor.
struct RelayEffects {
  std::vector<SendCommand> sends;
  std::vector<std::uint32_t> cancellations;  ///< attempts
  std::vector<CapacityWait> capacity_waits;
  std::vector<TrackedServerPtr> suspects;        ///< to be health-checked
  std::vector<state::ServiceId> freed_services;  ///< that may have capacity
  std::optional<RelayAnswer> answer;
  std::optional<state::TimePoint> next_timer_at;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RELAY_EFFECTS_H_
