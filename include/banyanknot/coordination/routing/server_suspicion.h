#ifndef BANYANKNOT_COORDINATION_ROUTING_SERVER_SUSPICION_H_
#define BANYANKNOT_COORDINATION_ROUTING_SERVER_SUSPICION_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief Why a server needs a health check before it gets requests again.
enum class ServerSuspicion {
  kUnreachable,     ///< a connection attempt failed
  kBroken,          ///< a connection broke; may have restarted cold
  kSilent,          ///< no reply in time
  kDomainReturned,  ///< its failure domain returned, perhaps cold
};

/// \brief Names of ServerSuspicion in messages and logs.
inline constexpr std::array<state::EnumName<ServerSuspicion>, 4>
    kServerSuspicionNames{{
        {ServerSuspicion::kUnreachable, "unreachable"},
        {ServerSuspicion::kBroken, "broken"},
        {ServerSuspicion::kSilent, "silent"},
        {ServerSuspicion::kDomainReturned, "domain_returned"},
    }};

/// \brief Returns the name of a ServerSuspicion.
constexpr std::string_view NameOf(ServerSuspicion value) {
  return state::FindName(kServerSuspicionNames, value);
}

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_SERVER_SUSPICION_H_
