#ifndef BANYANKNOT_COORDINATION_SERVERS_HOST_ROSTER_H_
#define BANYANKNOT_COORDINATION_SERVERS_HOST_ROSTER_H_

#include <vector>

#include "banyanknot/state/identifier.h"

namespace banyanknot::coordination {

/// \brief The hosts over which work on backend servers is divided.
///
/// Thread-safe.
class HostRoster {
 public:
  virtual ~HostRoster() = default;

  /// \brief The hosts that may own cold slots of servers in `domain`.
  ///
  /// The active hosts of that failure domain while it has any listed host;
  /// otherwise all listed hosts, whether they can be reached or not, so that
  /// the two sides of a split agree.
  virtual std::vector<state::HostId> EligibleHosts(
      const state::FailureDomainId& domain) const = 0;

  /// \brief The number of hosts that share the servers, this one included.
  virtual std::size_t HostCount() const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_HOST_ROSTER_H_
