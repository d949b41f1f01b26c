#ifndef BANYANKNOT_COORDINATION_SERVERS_FLEET_CONNECTION_SHARES_H_
#define BANYANKNOT_COORDINATION_SERVERS_FLEET_CONNECTION_SHARES_H_

#include <atomic>

#include "banyanknot/coordination/servers/connection_shares.h"
#include "banyanknot/coordination/servers/host_roster.h"
#include "banyanknot/state/server_record.h"

namespace banyanknot::coordination {

/// \brief Shares that leave room for a fleet that doubles while it is replaced.
///
/// Thread-safe. Each host keeps an equal part of the connections among twice
/// the known hosts; while it needs more, and the known hosts leave room, it
/// opens as many as the server has slots, and closes those soon when idle.
class FleetConnectionShares : public ConnectionShares {
 public:
  FleetConnectionShares(const state::ServerTable& servers,
                        const HostRoster& roster);

  ConnectionShare Of(const state::ServerId& server,
                     const state::Endpoint& endpoint) const override;

  /// \brief Counts the hosts again; to be called at a steady interval.
  void Refresh();

 private:
  const state::ServerTable& servers;
  const HostRoster& roster;
  std::atomic<std::size_t> hosts{1};
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_FLEET_CONNECTION_SHARES_H_
