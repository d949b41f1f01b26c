#include "banyanknot/coordination/servers/newcomer_briefing.h"

#include <algorithm>
#include <utility>

#include "banyanknot/coordination/fleet/rendezvous.h"

namespace banyanknot::coordination {
namespace {

constexpr state::Duration kInterval = state::Milliseconds(250);
constexpr std::size_t kServerUpdatesPerMessage = 32;

ServerUpdate ServerUpdateOf(const state::ServerId& id,
                            const state::ServerRecord& record,
                            state::TimePoint now) {
  const state::TimePoint since = record.phase == state::ServerPhase::kCold
                                     ? record.sighting.first_seen
                                     : record.phase_since;
  return {id, record.instance, record.phase, now - since};
}

/// Cold and leaving servers before warm ones.
bool IsMoreUrgent(const ServerUpdate& left, const ServerUpdate& right) {
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

std::vector<ServerUpdate> ServerUpdatesOf(const state::ServerTable& servers,
                                          state::TimePoint now) {
  std::vector<ServerUpdate> server_updates;
  servers.ForEach([&server_updates, now](const state::ServerId& id,
                                         const state::ServerRecord& record) {
    const bool is_known = !record.instance.IsEmpty() &&
                          record.phase != state::ServerPhase::kUnknown;
    if (is_known) server_updates.push_back(ServerUpdateOf(id, record, now));
  });
  std::stable_sort(server_updates.begin(), server_updates.end(), IsMoreUrgent);
  return server_updates;
}

NewcomerBriefing::NewcomerBriefing(const Clock& clock, TimerService& timers,
                                   const state::ServerTable& servers,
                                   const MembershipView& view, PeerLink& link)
    : clock(clock), timers(timers), servers(servers), view(view), link(link) {}

void NewcomerBriefing::Start() {
  this->RunOnce();
  this->timers.RunAt(this->clock.Now() + kInterval, [this] { this->Start(); });
}

void NewcomerBriefing::RunOnce() {
  std::unordered_map<state::HostId, std::uint64_t> incarnations;
  for (const state::HostRecord& host : this->view.ReachableHosts()) {
    const auto known = this->known_incarnations.find(host.listed.id);
    const bool is_new = known == this->known_incarnations.end() ||
                        known->second != host.incarnation;
    // An incarnation of 0 is a host that has only been listed so far.
    if (is_new && host.incarnation != 0 && this->IsSponsorOf(host)) {
      this->Brief(host);
    }
    incarnations[host.listed.id] = host.incarnation;
  }
  this->known_incarnations = std::move(incarnations);
}

bool NewcomerBriefing::IsSponsorOf(const state::HostRecord& newcomer) const {
  const state::ListedHost& self = this->view.Self().self;
  std::vector<state::HostId> candidates{self.id};
  for (const state::HostRecord& host : this->view.ReachableHosts()) {
    const bool is_beside_self = host.listed.domain == self.domain;
    if (is_beside_self && host.listed.id != newcomer.listed.id) {
      candidates.push_back(host.listed.id);
    }
  }
  const std::string subject = "briefing\n" + newcomer.listed.id.Text();
  if (RendezvousRank(subject, self.id, candidates) != 0) return false;
  if (self.domain == newcomer.listed.domain) return true;
  std::vector<state::HostId> all = IdsOf(this->view.ReachableHosts());
  all.push_back(self.id);
  constexpr std::size_t kSponsorsElsewhere = 2;
  return RendezvousRank(subject, self.id, all) <= kSponsorsElsewhere;
}

void NewcomerBriefing::Brief(const state::HostRecord& newcomer) const {
  const std::vector<ServerUpdate> server_updates =
      ServerUpdatesOf(this->servers, this->clock.Now());
  for (std::size_t begin = 0; begin < server_updates.size();
       begin += kServerUpdatesPerMessage) {
    const std::size_t end =
        std::min(begin + kServerUpdatesPerMessage, server_updates.size());
    PeerUpdates message;
    for (std::size_t index = begin; index < end; ++index) {
      message.server_updates.push_back(server_updates[index]);
    }
    this->link.Send(newcomer.listed.peer, message);
  }
}

}  // namespace banyanknot::coordination
