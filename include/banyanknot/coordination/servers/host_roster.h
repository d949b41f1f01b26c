#ifndef BANYANKNOT_COORDINATION_SERVERS_HOST_ROSTER_H_
#define BANYANKNOT_COORDINATION_SERVERS_HOST_ROSTER_H_

#include <vector>

#include "banyanknot/state/identifier.h"

namespace banyanknot::coordination {

/// \brief Lists the hosts that share cold slots and health checks of servers.
///
/// Thread-safe.
class HostRoster {
 public:
  virtual ~HostRoster() = default;

  /// \brief Returns the hosts that may own cold slots of servers in `domain`.
  ///
  /// These are the active hosts of that failure domain while it has any listed
  /// host; otherwise all listed hosts, reachable or not, so that both sides of
  /// a network partition agree.
  virtual std::vector<state::HostId> EligibleHosts(
      const state::FailureDomainId& domain) const = 0;

  /// \brief Returns the number of reachable hosts, including this one.
  virtual std::size_t HostCount() const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_HOST_ROSTER_H_
