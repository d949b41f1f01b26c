#include "banyanknot/coordination/servers/join_state_transfer.h"

#include <algorithm>
#include <utility>

#include "banyanknot/coordination/fleet/rendezvous.h"

namespace banyanknot::coordination {
namespace {

constexpr state::Duration kInterval = state::Milliseconds(250);
constexpr std::size_t kUpdatesPerMessage = 32;

ServerUpdate ToUpdate(const state::ServerId& id,
                      const state::ServerRecord& record, state::TimePoint now) {
  const state::TimePoint since = record.phase == state::ServerPhase::kCold
                                     ? record.observation.first_seen
                                     : record.phase_since;
  return {id, record.instance, record.phase, now - since};
}

/// Orders cold and leaving servers before warm ones.
bool IsBefore(const ServerUpdate& left, const ServerUpdate& right) {
  return left.phase != state::ServerPhase::kWarm &&
         right.phase == state::ServerPhase::kWarm;
}

std::vector<state::HostId> IdsOf(const std::vector<state::HostRecord>& hosts) {
  std::vector<state::HostId> ids;
  ids.reserve(hosts.size());
  for (const state::HostRecord& host : hosts) ids.push_back(host.listed.id);
  return ids;
}

}  // namespace

std::vector<ServerUpdate> CollectServerUpdates(
    const state::ServerTable& servers, state::TimePoint now) {
  std::vector<ServerUpdate> updates;
  servers.ForEach([&updates, now](const state::ServerId& id,
                                  const state::ServerRecord& record) {
    const bool is_known = !record.instance.IsEmpty() &&
                          record.phase != state::ServerPhase::kUnknown;
    if (is_known) updates.push_back(ToUpdate(id, record, now));
  });
  std::stable_sort(updates.begin(), updates.end(), IsBefore);
  return updates;
}

JoinStateTransfer::JoinStateTransfer(const Clock& clock, TimerService& timers,
                                     const state::ServerTable& servers,
                                     const MembershipView& view, PeerLink& link)
    : clock(clock), timers(timers), servers(servers), view(view), link(link) {}

void JoinStateTransfer::Start() {
  this->RunOnce();
  this->timers.RunAt(this->clock.Now() + kInterval, [this] { this->Start(); });
}

void JoinStateTransfer::RunOnce() {
  std::unordered_map<state::HostId, std::uint64_t> incarnations;
  for (const state::HostRecord& host : this->view.ReachableHosts()) {
    const auto known = this->known_incarnations.find(host.listed.id);
    const bool is_new = known == this->known_incarnations.end() ||
                        known->second != host.incarnation;
    // Incarnation 0: listed, but not heard from yet.
    if (is_new && host.incarnation != 0 && this->IsSenderFor(host)) {
      this->SendState(host);
    }
    incarnations[host.listed.id] = host.incarnation;
  }
  this->known_incarnations = std::move(incarnations);
}

bool JoinStateTransfer::IsSenderFor(
    const state::HostRecord& joining_host) const {
  const state::ListedHost& self = this->view.Self().self;
  std::vector<state::HostId> candidates{self.id};
  for (const state::HostRecord& host : this->view.ReachableHosts()) {
    const bool is_in_own_domain = host.listed.domain == self.domain;
    if (is_in_own_domain && host.listed.id != joining_host.listed.id) {
      candidates.push_back(host.listed.id);
    }
  }
  const std::string subject = "briefing\n" + joining_host.listed.id.Text();
  if (RendezvousRank(subject, self.id, candidates) != 0) return false;
  if (self.domain == joining_host.listed.domain) return true;
  std::vector<state::HostId> all = IdsOf(this->view.ReachableHosts());
  all.push_back(self.id);
  constexpr std::size_t kSendersElsewhere = 2;
  return RendezvousRank(subject, self.id, all) <= kSendersElsewhere;
}

void JoinStateTransfer::SendState(const state::HostRecord& joining_host) const {
  const std::vector<ServerUpdate> updates =
      CollectServerUpdates(this->servers, this->clock.Now());
  for (std::size_t begin = 0; begin < updates.size();
       begin += kUpdatesPerMessage) {
    const std::size_t end =
        std::min(begin + kUpdatesPerMessage, updates.size());
    PeerUpdates message;
    for (std::size_t index = begin; index < end; ++index) {
      message.server_updates.push_back(updates[index]);
    }
    this->link.Send(joining_host.listed.peer, message);
  }
}

}  // namespace banyanknot::coordination
