#ifndef BANYANKNOT_STATE_ROUTING_RELAY_REASON_H_
#define BANYANKNOT_STATE_ROUTING_RELAY_REASON_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::state {

/// \brief Why a relayed or gathered request got no server's reply.
enum class RelayReason {
  kNone,
  kNoUsableServer,          ///< too few servers are eligible
  kNoCapacityInTime,        ///< all servers are busy and the queue is too long
  kMinCoverageUnreachable,  ///< too many shards failed
  kServersGone,             ///< the servers still awaited appear to be gone
  kServersFailed,           ///< every eligible server failed or refused
  kDeadline,                ///< the deadline passed first
  kCallerLeft,              ///< the caller closed its connection
  kHostStopping,            ///< this host's shutdown ended it
};

/// \brief Names of RelayReason as written in logs.
inline constexpr std::array<EnumName<RelayReason>, 9> kRelayReasonNames{{
    {RelayReason::kNone, ""},
    {RelayReason::kNoUsableServer, "no_usable_server"},
    {RelayReason::kNoCapacityInTime, "no_room_in_time"},
    {RelayReason::kMinCoverageUnreachable, "floor_out_of_reach"},
    {RelayReason::kServersGone, "servers_gone"},
    {RelayReason::kServersFailed, "servers_failed"},
    {RelayReason::kDeadline, "deadline"},
    {RelayReason::kCallerLeft, "caller_left"},
    {RelayReason::kHostStopping, "host_stopping"},
}};

/// \brief Returns the name of a RelayReason.
constexpr std::string_view NameOf(RelayReason value) {
  return FindName(kRelayReasonNames, value);
}

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_ROUTING_RELAY_REASON_H_
