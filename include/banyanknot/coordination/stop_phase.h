#ifndef BANYANKNOT_COORDINATION_STOP_PHASE_H_
#define BANYANKNOT_COORDINATION_STOP_PHASE_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief How far a graceful stop has come.
enum class StopPhase {
  kServing,    ///< no stop was asked for
  kLeaving,    ///< not ready; serves on until the balancer has noticed
  kFinishing,  ///< accepts nothing; finishes what is in flight
  kStopped,    ///< nothing is left
  kForced,     ///< ended with work left
};

/// \brief Names of StopPhase, as they stand in messages and logs.
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
