#ifndef BANYANKNOT_COORDINATION_FLEET_RENDEZVOUS_H_
#define BANYANKNOT_COORDINATION_FLEET_RENDEZVOUS_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "banyanknot/state/identifier.h"

namespace banyanknot::coordination {

/// \brief Returns the rendezvous-hashing rank of `host` for `subject`; 0 is
/// first.
///
/// Hosts that agree on `hosts` agree on the ranks. Adding or removing a host
/// keeps the relative order of the others.
/// \param hosts may or may not contain `host`
std::size_t RendezvousRank(std::string_view subject, const state::HostId& host,
                           const std::vector<state::HostId>& hosts);

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_FLEET_RENDEZVOUS_H_
