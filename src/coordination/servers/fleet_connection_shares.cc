#include "banyanknot/coordination/servers/fleet_connection_shares.h"

#include <algorithm>
#include <optional>

namespace banyanknot::coordination {
namespace {

/// During a rolling replacement, old and new hosts run at the same time.
constexpr std::size_t kReplacementFactor = 2;

ConnectionShare ShareOf(const state::ServerLimits& limits, std::size_t hosts) {
  const std::size_t connections = limits.connections;
  ConnectionShare share;
  share.max_idle =
      std::max<std::size_t>(1, connections / (hosts * kReplacementFactor));
  const std::size_t spare =
      std::min<std::size_t>(limits.slots, connections / hosts);
  share.max_open = std::max(share.max_idle, spare);
  return share;
}

}  // namespace

FleetConnectionShares::FleetConnectionShares(const state::ServerTable& servers,
                                             const HostRoster& roster)
    : servers(servers), roster(roster) {}

ConnectionShare FleetConnectionShares::Of(
    const state::ServerId& server, const state::Endpoint& endpoint) const {
  const std::optional<state::ServerRecord> record = this->servers.Find(server);
  const bool is_listed =
      record && record->is_listed && record->limits.endpoint == endpoint;
  if (!is_listed) return {0, 0};
  return ShareOf(record->limits, this->hosts);
}

void FleetConnectionShares::Refresh() {
  this->hosts = std::max<std::size_t>(1, this->roster.HostCount());
}

}  // namespace banyanknot::coordination
