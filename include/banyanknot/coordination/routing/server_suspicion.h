#ifndef BANYANKNOT_COORDINATION_ROUTING_SERVER_SUSPICION_H_
#define BANYANKNOT_COORDINATION_ROUTING_SERVER_SUSPICION_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief Why a server must be checked before it gets work again.
enum class ServerSuspicion {
  kUnreachable,     ///< no connection could be made
  kBroken,          ///< a connection broke; it may have started anew, cold
  kSilent,          ///< it answered nothing in time
  kDomainReturned,  ///< its failure domain was out and may come back cold
};

/// \brief Names of ServerSuspicion, as they stand in messages and logs.
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
