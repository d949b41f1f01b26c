#ifndef BANYANKNOT_COORDINATION_STOP_PHASE_H_
#define BANYANKNOT_COORDINATION_STOP_PHASE_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief Phase of a graceful shutdown.
enum class StopPhase {
  kServing,    ///< no shutdown requested
  kLeaving,    ///< not ready; serves until the load balancer notices
  kFinishing,  ///< accepts nothing new; drains work in flight
  kStopped,    ///< all work has finished
  kForced,     ///< ended with work in flight
};

/// \brief Names of StopPhase as written in messages and logs.
inline constexpr std::array<state::EnumName<StopPhase>, 5> kStopPhaseNames{{
    {StopPhase::kServing, "serving"},
    {StopPhase::kLeaving, "leaving"},
    {StopPhase::kFinishing, "finishing"},
    {StopPhase::kStopped, "stopped"},
    {StopPhase::kForced, "forced"},
}};

/// \brief Returns the name of a StopPhase.
constexpr std::string_view NameOf(StopPhase value) {
  return state::FindName(kStopPhaseNames, value);
}

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_STOP_PHASE_H_
