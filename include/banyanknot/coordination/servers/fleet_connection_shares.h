#ifndef BANYANKNOT_COORDINATION_SERVERS_FLEET_CONNECTION_SHARES_H_
#define BANYANKNOT_COORDINATION_SERVERS_FLEET_CONNECTION_SHARES_H_

#include <atomic>

#include "banyanknot/coordination/servers/connection_shares.h"
#include "banyanknot/coordination/servers/host_roster.h"
#include "banyanknot/state/server_record.h"

namespace banyanknot::coordination {

/// \brief Reserves connections for a fleet that doubles during a rolling
/// replacement.
///
/// Thread-safe. The idle limit divides the server's connections by twice the
/// number of known hosts. Under load a host may open up to one connection per
/// slot, within an equal share among the known hosts; those above the idle
/// limit close soon after use.
class FleetConnectionShares : public ConnectionShares {
 public:
  FleetConnectionShares(const state::ServerTable& servers,
                        const HostRoster& roster);

  ConnectionShare Of(const state::ServerId& server,
                     const state::Endpoint& endpoint) const override;

  /// \brief Updates the host count. Call it periodically.
  void Refresh();

 private:
  const state::ServerTable& servers;
  const HostRoster& roster;
  std::atomic<std::size_t> hosts{1};
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_FLEET_CONNECTION_SHARES_H_
