#ifndef BANYANKNOT_STATE_HOST_STATE_H_
#define BANYANKNOT_STATE_HOST_STATE_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::state {

/// \brief Observed state of one incarnation of a host.
enum class HostState {
  kAlive,    ///< answers heartbeats
  kSuspect,  ///< missed heartbeats; not yet confirmed dead
  kDead,     ///< confirmed unreachable
  kLeft,     ///< announced its departure
};

/// \brief Names of HostState as written in messages and logs.
inline constexpr std::array<state::EnumName<HostState>, 4> kHostStateNames{{
    {HostState::kAlive, "alive"},
    {HostState::kSuspect, "suspect"},
    {HostState::kDead, "dead"},
    {HostState::kLeft, "left"},
}};

/// \brief Returns the name of a HostState.
constexpr std::string_view NameOf(HostState value) {
  return state::FindName(kHostStateNames, value);
}

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_HOST_STATE_H_
