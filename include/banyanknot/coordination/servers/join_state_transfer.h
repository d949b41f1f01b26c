#ifndef BANYANKNOT_COORDINATION_SERVERS_JOIN_STATE_TRANSFER_H_
#define BANYANKNOT_COORDINATION_SERVERS_JOIN_STATE_TRANSFER_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/membership_view.h"
#include "banyanknot/coordination/peer_link.h"
#include "banyanknot/coordination/timer_service.h"
#include "banyanknot/state/server_record.h"

namespace banyanknot::coordination {

/// \brief Returns one update per server whose instance and phase are known.
///
/// Cold and leaving servers come first.
std::vector<ServerUpdate> CollectServerUpdates(
    const state::ServerTable& servers, state::TimePoint now);

/// \brief Sends the known server phases to hosts that join.
///
/// Each server update is gossiped only once, so a host that joins later would
/// miss it. Rendezvous hashing chooses the senders: one host of the joining
/// host's failure domain, and few hosts of other domains. Not thread-safe; run
/// by one timer.
class JoinStateTransfer {
 public:
  JoinStateTransfer(const Clock& clock, TimerService& timers,
                    const state::ServerTable& servers,
                    const MembershipView& view, PeerLink& link);

  /// \brief Runs RunOnce() at a fixed interval until the process ends.
  void Start();

  /// \brief Sends state to the hosts that joined since the last run.
  void RunOnce();

 private:
  bool IsSenderFor(const state::HostRecord& joining_host) const;
  void SendState(const state::HostRecord& joining_host) const;

  const Clock& clock;
  TimerService& timers;
  const state::ServerTable& servers;
  const MembershipView& view;
  PeerLink& link;
  std::unordered_map<state::HostId, std::uint64_t> known_incarnations;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_JOIN_STATE_TRANSFER_H_
