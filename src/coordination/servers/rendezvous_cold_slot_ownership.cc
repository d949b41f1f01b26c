#include "banyanknot/coordination/servers/rendezvous_cold_slot_ownership.h"

#include <algorithm>
#include <string>
#include <utility>

#include "banyanknot/coordination/fleet/rendezvous.h"

namespace banyanknot::coordination {
namespace {

bool IsOwner(const state::HostId& self, const std::vector<state::HostId>& hosts,
             const state::ServerId& server, std::uint32_t slot) {
  const bool is_candidate =
      std::binary_search(hosts.begin(), hosts.end(), self);
  return is_candidate &&
         RendezvousRank(server.Text() + '\n' + std::to_string(slot), self,
                        hosts) == 0;
}

}  // namespace

RendezvousColdSlotOwnership::RendezvousColdSlotOwnership(
    const Clock& clock, const HostRoster& roster, state::HostId self,
    OwnershipTimes times)
    : clock(clock), roster(roster), self(std::move(self)), times(times) {}

std::uint32_t RendezvousColdSlotOwnership::OwnedSlots(
    const state::ServerId& server, const state::FailureDomainId& domain,
    std::uint32_t cold_slots) {
  this->ObserveDomain(domain);
  const std::optional<History> history = this->histories.Find(domain);
  if (!history || history->observed_at - history->observed_since <
                      this->times.takeover_delay) {
    return 0;
  }
  std::uint32_t owned = 0;
  for (std::uint32_t slot = 0; slot < cold_slots; ++slot) {
    if (this->OwnsUnderAll(*history, server, slot)) ++owned;
  }
  return owned;
}

bool RendezvousColdSlotOwnership::OwnsUnderAll(const History& history,
                                               const state::ServerId& server,
                                               std::uint32_t slot) const {
  for (const Roster& roster_in_force : history.rosters) {
    if (!IsOwner(this->self, roster_in_force.hosts, server, slot)) return false;
  }
  return true;
}

void RendezvousColdSlotOwnership::Observe(
    const std::vector<state::FailureDomainId>& domains) {
  for (const state::FailureDomainId& domain : domains) {
    this->ObserveDomain(domain);
  }
}

void RendezvousColdSlotOwnership::ObserveDomain(
    const state::FailureDomainId& domain) {
  std::vector<state::HostId> hosts = this->roster.EligibleHosts(domain);
  std::sort(hosts.begin(), hosts.end());
  const state::TimePoint now = this->clock.Now();
  this->histories.Update(domain, [this, &hosts, now](History& history) {
    this->Extend(history, std::move(hosts), now);
  });
}

void RendezvousColdSlotOwnership::Extend(History& history,
                                         std::vector<state::HostId> hosts,
                                         state::TimePoint now) const {
  if (history.rosters.empty() ||
      now - history.observed_at > this->times.max_observation_gap) {
    history.rosters.clear();
    history.observed_since = now;
  }
  history.observed_at = std::max(history.observed_at, now);
  if (history.rosters.empty() || history.rosters.back().hosts != hosts) {
    history.rosters.push_back({now, std::move(hosts)});
  }
  // Keeps the roster that was in force when the delay window began.
  while (history.rosters.size() > 1 &&
         now - history.rosters[1].since >= this->times.takeover_delay) {
    history.rosters.pop_front();
  }
}

}  // namespace banyanknot::coordination
