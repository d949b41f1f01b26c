#ifndef BANYANKNOT_COORDINATION_ROUTING_SERVER_DOUBT_H_
#define BANYANKNOT_COORDINATION_ROUTING_SERVER_DOUBT_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief Why a server must be checked before it gets work again.
enum class ServerDoubt {
  kUnreachable,     ///< no connection could be made
  kBroken,          ///< a connection broke; it may have started anew, cold
  kSilent,          ///< it answered nothing in time
  kDomainReturned,  ///< its failure domain was out and may come back cold
};

/// \brief Names of ServerDoubt, as they stand in messages and logs.
inline constexpr std::array<state::EnumName<ServerDoubt>, 4> kServerDoubtNames{{
    {ServerDoubt::kUnreachable, "unreachable"},
    {ServerDoubt::kBroken, "broken"},
    {ServerDoubt::kSilent, "silent"},
    {ServerDoubt::kDomainReturned, "domain_returned"},
}};

/// \brief Returns the name of a ServerDoubt.
constexpr std::string_view NameOf(ServerDoubt value) {
  return state::FindName(kServerDoubtNames, value);
}

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_SERVER_DOUBT_H_
