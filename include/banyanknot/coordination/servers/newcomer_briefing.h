#ifndef BANYANKNOT_COORDINATION_SERVERS_NEWCOMER_BRIEFING_H_
#define BANYANKNOT_COORDINATION_SERVERS_NEWCOMER_BRIEFING_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/membership_view.h"
#include "banyanknot/coordination/peer_link.h"
#include "banyanknot/coordination/timer_service.h"
#include "banyanknot/state/server_record.h"

namespace banyanknot::coordination {

/// \brief What is known of the servers, as notes for another host.
///
/// Cold and leaving servers come first; servers of which nothing is known are
/// left out.
std::vector<ServerUpdate> ServerUpdatesOf(const state::ServerTable& servers,
                                          state::TimePoint now);

/// \brief Tells a host that just started what is known of the servers.
///
/// Notes spread once; a host that comes later would know nothing of them. One
/// host of the newcomer's failure domain and one other, chosen by rendezvous
/// hashing, send it theirs. Run by one timer; not thread-safe itself.
class NewcomerBriefing {
 public:
  NewcomerBriefing(const Clock& clock, TimerService& timers,
                   const state::ServerTable& servers,
                   const MembershipView& view, PeerLink& link);

  /// \brief Runs RunOnce() at a steady interval until the process ends.
  void Start();

  /// \brief Briefs the hosts that are new since the last run.
  void RunOnce();

 private:
  bool IsSponsorOf(const state::HostRecord& newcomer) const;
  void Brief(const state::HostRecord& newcomer) const;

  const Clock& clock;
  TimerService& timers;
  const state::ServerTable& servers;
  const MembershipView& view;
  PeerLink& link;
  std::unordered_map<state::HostId, std::uint64_t> known_incarnations;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_NEWCOMER_BRIEFING_H_
