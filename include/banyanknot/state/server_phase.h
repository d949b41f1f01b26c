#ifndef BANYANKNOT_STATE_SERVER_PHASE_H_
#define BANYANKNOT_STATE_SERVER_PHASE_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::state {

/// \brief What is known of one instance of a backend server.
enum class ServerPhase {
  kUnknown,  ///< no evidence yet; counts as cold
  kCold,     ///< warming up; bears a little work only
  kWarm,     ///< bears its full number of slots
  kLeaving,  ///< draining or gone; gets no new work, for good
};

/// \brief Names of ServerPhase, as they stand in messages and logs.
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
