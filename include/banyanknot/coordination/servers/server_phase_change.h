#ifndef BANYANKNOT_COORDINATION_SERVERS_SERVER_PHASE_CHANGE_H_
#define BANYANKNOT_COORDINATION_SERVERS_SERVER_PHASE_CHANGE_H_

#include <optional>

#include "banyanknot/coordination/servers/phase_cause.h"
#include "banyanknot/state/identifier.h"
#include "banyanknot/state/server_phase.h"

namespace banyanknot::coordination {

/// \brief One change of a backend server's phase, to be audited and gossiped.
struct ServerPhaseChange {
  state::InstanceId instance;
  state::ServerPhase from = state::ServerPhase::kUnknown;
  state::ServerPhase to = state::ServerPhase::kUnknown;
  PhaseCause cause = PhaseCause::kNewInstance;
};

/// \brief A change; nullopt if the phase stays.
using MaybePhaseChange = std::optional<ServerPhaseChange>;

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_SERVER_PHASE_CHANGE_H_
