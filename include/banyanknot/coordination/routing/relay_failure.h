#ifndef BANYANKNOT_COORDINATION_ROUTING_RELAY_FAILURE_H_
#define BANYANKNOT_COORDINATION_ROUTING_RELAY_FAILURE_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief Why an attempt at a server got no reply.
enum class RelayFailure {
  kNotSent,    ///< no byte written: the connection attempt failed
  kLimit,      ///< no byte written: connection limit reached
  kLost,       ///< the connection broke after the first byte
  kMisplaced,  ///< only responses to other requests came
  kTimeout,    ///< no reply in time
  kWithdrawn,  ///< no byte written: the server wants no more requests
};

/// \brief Names of RelayFailure in messages and logs.
inline constexpr std::array<state::EnumName<RelayFailure>, 6>
    kRelayFailureNames{{
        {RelayFailure::kNotSent, "not_sent"},
        {RelayFailure::kLimit, "limit"},
        {RelayFailure::kLost, "lost"},
        {RelayFailure::kMisplaced, "misplaced"},
        {RelayFailure::kTimeout, "timeout"},
        {RelayFailure::kWithdrawn, "withdrawn"},
    }};

/// \brief Returns the name of a RelayFailure.
constexpr std::string_view NameOf(RelayFailure value) {
  return state::FindName(kRelayFailureNames, value);
}

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RELAY_FAILURE_H_
