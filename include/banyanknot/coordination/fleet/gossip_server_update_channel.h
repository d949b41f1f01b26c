#ifndef BANYANKNOT_COORDINATION_FLEET_GOSSIP_SERVER_UPDATE_CHANNEL_H_
#define BANYANKNOT_COORDINATION_FLEET_GOSSIP_SERVER_UPDATE_CHANNEL_H_

#include <mutex>
#include <string>
#include <vector>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/fleet/peer_selector.h"
#include "banyanknot/coordination/fleet/rate_budget.h"
#include "banyanknot/coordination/fleet/update_queue.h"
#include "banyanknot/coordination/membership_view.h"
#include "banyanknot/coordination/peer_link.h"
#include "banyanknot/coordination/server_update_channel.h"
#include "banyanknot/coordination/server_update_source.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Gossips the phases of backend servers between hosts.
///
/// Thread-safe. What other hosts must not learn late, that a server is leaving
/// or that a cold instance has taken its place, is forwarded immediately by
/// each host that receives it for the first time, and with heartbeats; other
/// updates with heartbeats only. An update without new information is dropped.
class GossipServerUpdateChannel : public ServerUpdateChannel,
                                  public ServerUpdateSource,
                                  public PeerHandler {
 public:
  GossipServerUpdateChannel(const Clock& clock, const MembershipView& view,
                            PeerSelector& selector, PeerLink& link,
                            RateBudget& budget);

  void Publish(const ServerUpdate& update) override;
  void Subscribe(ServerUpdateListener& listener) override;
  std::vector<ServerUpdate> TakeServerUpdates() override;
  void OnPeerMessage(const PeerEnvelope& envelope) override;

 private:
  /// The latest phase of one instance of a server.
  struct LatestPhase {
    state::ServerPhase phase = state::ServerPhase::kUnknown;
    state::TimePoint entered_at;
    bool is_set = false;
  };
  /// An update and when its phase began; gives its age at the time of sending.
  struct DatedUpdate {
    ServerUpdate update;
    state::TimePoint entered_at;
  };

  /// How an update goes on to other hosts.
  enum class Spread { kNone, kWithHeartbeats, kAtOnce };

  Spread ApplyUpdate(const ServerUpdate& update);
  void Forward(const ServerUpdate& update, const state::HostId& from);
  void HandleUpdates(const std::vector<ServerUpdate>& received,
                     const state::HostId& from);

  const Clock& clock;
  const MembershipView& view;
  PeerSelector& selector;
  PeerLink& link;
  RateBudget& budget;
  state::ShardedTable<std::string, LatestPhase>
      latest_phases;  // by server and instance
  UpdateQueue<std::string, DatedUpdate> queue;
  std::mutex listeners_mutex;
  std::vector<ServerUpdateListener*> listeners;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_FLEET_GOSSIP_SERVER_UPDATE_CHANNEL_H_
