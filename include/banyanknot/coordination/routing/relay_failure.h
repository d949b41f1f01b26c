#ifndef BANYANKNOT_COORDINATION_ROUTING_RELAY_FAILURE_H_
#define BANYANKNOT_COORDINATION_ROUTING_RELAY_FAILURE_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief Why a request to a server brought no reply.
enum class RelayFailure {
  kNotSent,  ///< no byte was written: no connection
  kLimit,    ///< no byte was written: all connections are taken
  kLost,     ///< the connection failed after the first byte
  kTimeout,  ///< nothing came in time
};

/// \brief Names of RelayFailure, as they stand in messages and logs.
inline constexpr std::array<state::EnumName<RelayFailure>, 4>
    kRelayFailureNames{{
        {RelayFailure::kNotSent, "not_sent"},
        {RelayFailure::kLimit, "limit"},
        {RelayFailure::kLost, "lost"},
        {RelayFailure::kTimeout, "timeout"},
    }};

/// \brief Returns the name of a RelayFailure.
constexpr std::string_view NameOf(RelayFailure value) {
  return state::FindName(kRelayFailureNames, value);
}

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RELAY_FAILURE_H_
