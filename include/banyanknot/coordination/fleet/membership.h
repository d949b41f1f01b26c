#ifndef BANYANKNOT_COORDINATION_FLEET_MEMBERSHIP_H_
#define BANYANKNOT_COORDINATION_FLEET_MEMBERSHIP_H_

#include <atomic>
#include <cstdint>
#include <vector>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/digest_source.h"
#include "banyanknot/coordination/fleet/contact_log.h"
#include "banyanknot/coordination/fleet/host_registry.h"
#include "banyanknot/coordination/fleet/peer_selector.h"
#include "banyanknot/coordination/fleet/rate_budget.h"
#include "banyanknot/coordination/membership_view.h"
#include "banyanknot/coordination/peer_link.h"
#include "banyanknot/coordination/random_source.h"
#include "banyanknot/coordination/server_update_source.h"
#include "banyanknot/coordination/timer_service.h"
#include "banyanknot/coordination/view_refresher.h"

namespace banyanknot::coordination {

/// \brief Maintains the table of hosts with heartbeats (SWIM).
///
/// Thread-safe. In each period a host pings one host of another failure domain
/// and one of its own, whatever the size of the fleet. A target that does not
/// answer is probed through other hosts before it is suspected, so that one
/// failed link does not mark a live host as suspect.
class Membership : public PeerHandler, public ViewRefresher {
 public:
  /// \param seeds peer endpoints from the settings, pinged to join the fleet
  Membership(const MembershipView& view, std::vector<state::Endpoint> seeds,
             const Clock& clock, TimerService& timers, RandomSource& random,
             PeerSelector& selector, PeerLink& link, HostRegistry& registry,
             const DigestSource& digests, ServerUpdateSource& server_updates,
             ContactLog& contacts, RateBudget& budget);

  /// \brief Pings the seeds and starts the periodic heartbeats.
  void Start();

  void OnPeerMessage(const PeerEnvelope& envelope) override;

  /// \brief Pings a host of each failure domain immediately; rate-limited.
  void Refresh() override;

  /// \brief Sends a goodbye to all reachable hosts; later calls have no effect.
  ///
  /// Sends in batches over the time `spread`, to avoid a burst in a large
  /// fleet.
  void AnnounceLeaving(state::Duration spread);

 private:
  /// A ping whose pong is outstanding.
  struct OpenPing {
    state::HostId target;
    state::Endpoint endpoint;
    state::TimePoint asked_at;
    bool is_relayed = false;  ///< an indirect probe for `origin`
    state::Endpoint origin;   ///< the host that asked, and its sequence
    std::uint64_t origin_sequence = 0;
    bool is_answered = false;  ///< through an indirect probe
  };

  void RunHeartbeat();
  void PingMembers();
  void PingDeadHosts();
  void PingSeeds();
  std::uint64_t SendPing(const state::Endpoint& peer, OpenPing ping);
  void Probe(const state::HostRecord& host);
  void SendIndirectProbes(std::uint64_t sequence);
  void OnProbeTimeout(std::uint64_t sequence);
  void Send(const state::Endpoint& peer, const PeerMessage& message);
  void SendAliveHostUpdates(const state::Endpoint& peer);

  void Handle(const PeerEnvelope& envelope, const PeerPing& ping);
  void Handle(const PeerEnvelope& envelope, const PeerPong& pong);
  void Handle(const PeerEnvelope& envelope, const PeerProbe& probe);
  void Handle(const PeerEnvelope& envelope, const PeerProbeResult& result);
  void Handle(const PeerEnvelope& envelope, const PeerGoodbye& goodbye);
  void Handle(const PeerEnvelope& envelope, const PeerUpdates& updates);
  template <typename Other>
  void Handle(const PeerEnvelope& /*envelope*/, const Other& /*message*/) {}
  void ApplyHostUpdates(const std::vector<HostUpdate>& host_updates,
                        const state::HostId& from);

  const MembershipView& view;
  const std::vector<state::Endpoint> seeds;
  const Clock& clock;
  TimerService& timers;
  RandomSource& random;
  PeerSelector& selector;
  PeerLink& link;
  HostRegistry& registry;
  const DigestSource& digests;
  ServerUpdateSource& server_updates;
  ContactLog& contacts;
  RateBudget& budget;
  state::ShardedTable<std::uint64_t, OpenPing> open_pings;  // by sequence
  std::atomic<std::uint64_t> next_sequence{1};
  std::atomic<std::uint64_t> period{0};
  std::atomic<state::Duration::rep> refreshed_at{0};
  std::atomic<bool> has_said_goodbye{false};
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_FLEET_MEMBERSHIP_H_
