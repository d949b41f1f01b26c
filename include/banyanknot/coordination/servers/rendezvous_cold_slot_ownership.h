#ifndef BANYANKNOT_COORDINATION_SERVERS_RENDEZVOUS_COLD_SLOT_OWNERSHIP_H_
#define BANYANKNOT_COORDINATION_SERVERS_RENDEZVOUS_COLD_SLOT_OWNERSHIP_H_

#include <deque>
#include <vector>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/servers/cold_slot_ownership.h"
#include "banyanknot/coordination/servers/host_roster.h"
#include "banyanknot/state/sharded_table.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Times that keep two owners of one cold slot apart.
struct OwnershipTimes {
  /// A slot is used only by a host that has owned it for so long. Longer than
  /// the longest cold work and the difference between two hosts' lists.
  state::Duration takeover_delay = state::Milliseconds(3'000);
  /// A longer gap between two observations counts as a restart.
  state::Duration max_observation_gap = state::Milliseconds(1'000);
};

/// \brief Owns each cold slot by rendezvous hashing over the server's hosts.
///
/// A host may use a slot if it owns it under every roster that was in force
/// within the takeover delay. A host that just started, or was paused, has no
/// such history and waits that long. The instance is no part of the hash: two
/// hosts that know different instances must still name the same owner.
class RendezvousColdSlotOwnership : public ColdSlotOwnership {
 public:
  RendezvousColdSlotOwnership(const Clock& clock, const HostRoster& roster,
                              state::HostId self, OwnershipTimes times);

  std::uint32_t OwnedSlots(const state::ServerId& server,
                           const state::FailureDomainId& domain,
                           std::uint32_t cold_slots) override;

  /// \brief Takes note of the rosters of `domains` now; to be called several
  /// times within `max_observation_gap`.
  void Observe(const std::vector<state::FailureDomainId>& domains);

 private:
  struct Roster {
    state::TimePoint since;
    std::vector<state::HostId> hosts;
  };
  struct History {
    state::TimePoint observed_since;
    state::TimePoint observed_at;
    std::deque<Roster> rosters;  // oldest first
  };

  void ObserveDomain(const state::FailureDomainId& domain);
  void Extend(History& history, std::vector<state::HostId> hosts,
              state::TimePoint now) const;
  bool OwnsUnderAll(const History& history, const state::ServerId& server,
                    std::uint32_t slot) const;

  const Clock& clock;
  const HostRoster& roster;
  const state::HostId self;
  const OwnershipTimes times;
  state::ShardedTable<state::FailureDomainId, History> histories;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_RENDEZVOUS_COLD_SLOT_OWNERSHIP_H_
