#ifndef BANYANKNOT_COORDINATION_FLEET_RENDEZVOUS_H_
#define BANYANKNOT_COORDINATION_FLEET_RENDEZVOUS_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "banyanknot/state/identifier.h"

namespace banyanknot::coordination {

/// \brief Rendezvous hashing: the rank of `host` among `hosts` for `subject`.
///
/// Hosts that agree on `hosts` agree on the ranks; one host more or less moves
/// no other pair of hosts past each other.
/// \param hosts may or may not hold `host`
/// \returns 0 for the first
std::size_t RendezvousRank(std::string_view subject, const state::HostId& host,
                           const std::vector<state::HostId>& hosts);

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_FLEET_RENDEZVOUS_H_
