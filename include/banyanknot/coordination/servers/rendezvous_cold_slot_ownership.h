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

/// \brief Timing that prevents two hosts from using one cold slot at a time.
struct OwnershipTimes {
  /// Time that a host must have owned a slot before using it. Must exceed the
  /// longest request to a cold server plus the lag between two hosts' rosters.
  state::Duration takeover_delay = state::Milliseconds(3'000);
  /// A longer gap between observations resets the history, like a restart.
  state::Duration max_observation_gap = state::Milliseconds(1'000);
};

/// \brief Assigns cold slots by rendezvous hashing over the server's hosts.
///
/// Thread-safe. A host may use a slot if it owns it under every roster that was
/// in force within the takeover delay. A host that just started or was paused
/// has no such history and waits for that delay. The hash excludes the server's
/// instance, so hosts that know different instances agree on the owner.
class RendezvousColdSlotOwnership : public ColdSlotOwnership {
 public:
  RendezvousColdSlotOwnership(const Clock& clock, const HostRoster& roster,
                              state::HostId self, OwnershipTimes times);

  std::uint32_t OwnedSlots(const state::ServerId& server,
                           const state::FailureDomainId& domain,
                           std::uint32_t cold_slots) override;

  /// \brief Records the current rosters of `domains`. Call it several times per
  /// `max_observation_gap`.
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
