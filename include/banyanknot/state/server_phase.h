#ifndef BANYANKNOT_STATE_SERVER_PHASE_H_
#define BANYANKNOT_STATE_SERVER_PHASE_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::state {

/// \brief Observed phase of one instance of a backend server.
enum class ServerPhase {
  kUnknown,  ///< no evidence yet; treated as cold
  kCold,     ///< warming up; limited to its cold slots
  kWarm,     ///< may use all its slots
  kLeaving,  ///< draining or gone; never gets new work again
};

/// \brief Names of ServerPhase as written in messages and logs.
inline constexpr std::array<state::EnumName<ServerPhase>, 4> kServerPhaseNames{{
    {ServerPhase::kUnknown, "unknown"},
    {ServerPhase::kCold, "cold"},
    {ServerPhase::kWarm, "warm"},
    {ServerPhase::kLeaving, "leaving"},
}};

/// \brief Returns the name of a ServerPhase.
constexpr std::string_view NameOf(ServerPhase value) {
  return state::FindName(kServerPhaseNames, value);
}

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_SERVER_PHASE_H_
