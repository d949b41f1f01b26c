#include "banyanknot/coordination/fleet/membership.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "banyanknot/coordination/fleet/peer_message_size.h"

namespace banyanknot::coordination {
namespace {

constexpr state::Duration kPeriod = state::Milliseconds(1'000);
constexpr state::Duration kPeriodJitter = state::Milliseconds(100);
constexpr state::Duration kPingTimeout = state::Milliseconds(300);
constexpr state::Duration kProbeTimeout = state::Milliseconds(900);
constexpr state::Duration kOpenPingRetention = state::Milliseconds(10'000);
constexpr state::Duration kContactRetention = state::Milliseconds(600'000);
constexpr state::Duration kRefreshInterval = state::Milliseconds(250);
constexpr std::size_t kIndirectProbes = 3;
constexpr std::size_t kHostUpdatesPerBatch = 64;
constexpr std::size_t kGoodbyeBatch = 32;
constexpr std::size_t kRefreshPeers = 2;
constexpr std::uint64_t kDeadPingPeriods = 5;

}  // namespace

Membership::Membership(const MembershipView& view,
                       std::vector<state::Endpoint> seeds, const Clock& clock,
                       TimerService& timers, RandomSource& random,
                       PeerSelector& selector, PeerLink& link,
                       HostRegistry& registry, const DigestSource& digests,
                       ServerUpdateSource& server_updates, ContactLog& contacts,
                       RateBudget& budget)
    : view(view),
      seeds(std::move(seeds)),
      clock(clock),
      timers(timers),
      random(random),
      selector(selector),
      link(link),
      registry(registry),
      digests(digests),
      server_updates(server_updates),
      contacts(contacts),
      budget(budget) {}

void Membership::Start() { this->RunHeartbeat(); }

void Membership::RunHeartbeat() {
  const std::uint64_t number = this->period.fetch_add(1);
  if (this->view.ReachableHosts().empty()) this->PingSeeds();
  this->PingMembers();
  if (number % kDeadPingPeriods == kDeadPingPeriods - 1) this->PingDeadHosts();
  this->registry.Expire();
  const state::TimePoint now = this->clock.Now();
  this->open_pings.RemoveIf(
      [now](const std::uint64_t& /*sequence*/, const OpenPing& ping) {
        return now - ping.asked_at > kOpenPingRetention;
      });
  this->contacts.Prune(now - kContactRetention);
  const state::Duration jitter = state::Milliseconds(static_cast<std::int64_t>(
      this->random.Below(state::ToMilliseconds(2 * kPeriodJitter) + 1)));
  this->timers.RunAt(now + kPeriod - kPeriodJitter + jitter,
                     [this] { this->RunHeartbeat(); });
}

void Membership::PingMembers() {
  std::vector<state::HostRecord> targets = this->selector.PickInOtherDomains(1);
  const state::HostId first =
      targets.empty() ? state::HostId() : targets[0].listed.id;
  for (state::HostRecord& near : this->selector.PickInOwnDomain(1, first)) {
    targets.push_back(std::move(near));
  }
  for (const state::HostRecord& target : targets) this->Probe(target);
}

void Membership::PingDeadHosts() {
  std::vector<state::HostRecord> dead_hosts;
  for (state::HostRecord& host : this->view.Hosts()) {
    if (host.host_state == state::HostState::kDead) {
      dead_hosts.push_back(std::move(host));
    }
  }
  if (dead_hosts.empty()) {
    // Keeps the rate at which the whole fleet pings each seed independent of
    // the fleet's size.
    const std::size_t known = this->view.ReachableHosts().size();
    if (this->random.Below(known + 1) < this->seeds.size()) this->PingSeeds();
    return;
  }
  const state::HostRecord& host =
      dead_hosts[this->random.Below(dead_hosts.size())];
  this->SendPing(host.listed.peer,
                 {host.listed.id, host.listed.peer, this->clock.Now()});
}

void Membership::PingSeeds() {
  if (this->seeds.empty()) return;
  const std::size_t first = this->random.Below(this->seeds.size());
  const std::size_t count = std::min(kRefreshPeers, this->seeds.size());
  for (std::size_t index = 0; index < count; ++index) {
    const state::Endpoint& seed =
        this->seeds[(first + index) % this->seeds.size()];
    if (seed == this->view.Self().self.peer) continue;
    this->SendPing(seed, {state::HostId(), seed, this->clock.Now()});
  }
}

void Membership::Refresh() {
  const state::Duration::rep now = this->clock.Now().time_since_epoch().count();
  state::Duration::rep last = this->refreshed_at.load();
  if (last != 0 && now - last < kRefreshInterval.count()) return;
  if (!this->refreshed_at.compare_exchange_strong(last, now)) return;
  const state::HostId none_excluded;
  std::vector<state::HostRecord> hosts =
      this->selector.PickOnePerOtherDomain(none_excluded);
  for (state::HostRecord& near :
       this->selector.PickInOwnDomain(1, none_excluded)) {
    hosts.push_back(std::move(near));
  }
  if (hosts.size() < kRefreshPeers) {
    hosts = this->selector.Pick(kRefreshPeers, none_excluded);
  }
  if (hosts.empty()) this->PingSeeds();
  for (const state::HostRecord& host : hosts) {
    this->SendPing(host.listed.peer,
                   {host.listed.id, host.listed.peer, this->clock.Now()});
  }
}

std::uint64_t Membership::SendPing(const state::Endpoint& peer, OpenPing ping) {
  const std::uint64_t sequence = this->next_sequence.fetch_add(1);
  PeerPing message;
  message.sequence = sequence;
  message.sender = this->registry.SelfUpdate().host;
  message.digest = this->digests.Digest();
  message.host_updates = this->registry.TakeHostUpdates(ping.target);
  message.server_updates = this->server_updates.TakeServerUpdates();
  this->open_pings.Insert(sequence, std::move(ping));
  this->Send(peer, message);
  return sequence;
}

void Membership::Probe(const state::HostRecord& host) {
  const state::TimePoint now = this->clock.Now();
  const std::uint64_t sequence =
      this->SendPing(host.listed.peer, {host.listed.id, host.listed.peer, now});
  this->timers.RunAt(now + kPingTimeout,
                     [this, sequence] { this->SendIndirectProbes(sequence); });
  this->timers.RunAt(now + kProbeTimeout,
                     [this, sequence] { this->OnProbeTimeout(sequence); });
}

void Membership::SendIndirectProbes(std::uint64_t sequence) {
  const std::optional<OpenPing> ping = this->open_pings.Find(sequence);
  if (!ping) return;
  const std::optional<state::HostRecord> target = this->view.Find(ping->target);
  if (!target) return;
  for (const state::HostRecord& host :
       this->selector.Pick(kIndirectProbes, ping->target)) {
    this->Send(host.listed.peer, PeerProbe{sequence, target->listed});
  }
}

void Membership::OnProbeTimeout(std::uint64_t sequence) {
  const std::optional<OpenPing> ping = this->open_pings.Find(sequence);
  if (!ping || ping->is_answered) return;
  if (this->clock.Now() - ping->asked_at > 2 * kProbeTimeout) return;
  this->registry.Suspect(ping->target);
}

void Membership::Send(const state::Endpoint& peer, const PeerMessage& message) {
  this->budget.Charge(EstimateSize(message));
  this->link.Send(peer, message);
}

void Membership::SendAliveHostUpdates(const state::Endpoint& peer) {
  PeerUpdates updates;
  updates.host_updates.push_back(this->registry.SelfUpdate());
  for (HostUpdate& update : this->registry.AliveHostUpdates()) {
    updates.host_updates.push_back(std::move(update));
    if (updates.host_updates.size() < kHostUpdatesPerBatch) continue;
    this->Send(peer, updates);
    updates.host_updates.clear();
  }
  if (!updates.host_updates.empty()) this->Send(peer, updates);
}

void Membership::OnPeerMessage(const PeerEnvelope& envelope) {
  if (!std::holds_alternative<PeerPing>(envelope.message) &&
      !std::holds_alternative<PeerGoodbye>(envelope.message)) {
    this->registry.ApplyContact(envelope.from, envelope.incarnation,
                                std::nullopt);
  }
  std::visit([this, &envelope](
                 const auto& message) { this->Handle(envelope, message); },
             envelope.message);
}

void Membership::Handle(const PeerEnvelope& envelope, const PeerPing& ping) {
  if (ping.sender.id != envelope.from) return;
  const bool is_new = this->registry.ApplyContact(
      envelope.from, envelope.incarnation, ping.sender);
  this->ApplyHostUpdates(ping.host_updates, envelope.from);
  PeerPong pong;
  pong.sequence = ping.sequence;
  pong.digest = this->digests.Digest();
  pong.host_updates = this->registry.TakeHostUpdates(envelope.from);
  pong.server_updates = this->server_updates.TakeServerUpdates();
  this->Send(ping.sender.peer, pong);
  const bool has_no_catalogue = ping.digest.max_revision == 0;
  if (is_new && has_no_catalogue) this->SendAliveHostUpdates(ping.sender.peer);
}

void Membership::Handle(const PeerEnvelope& envelope, const PeerPong& pong) {
  this->ApplyHostUpdates(pong.host_updates, envelope.from);
  const std::optional<OpenPing> ping = this->open_pings.Find(pong.sequence);
  if (!ping) return;
  if (ping->target != envelope.from && !ping->target.IsEmpty()) return;
  this->open_pings.Take(pong.sequence);
  if (ping->is_relayed) {
    this->Send(ping->origin,
               PeerProbeResult{ping->origin_sequence, ping->target,
                               envelope.incarnation, true});
    return;
  }
  const CatalogueDigest own = this->digests.Digest();
  const bool has_nothing_newer = pong.digest.hash == own.hash ||
                                 pong.digest.max_revision < own.max_revision;
  const std::optional<state::HostRecord> host = this->view.Find(envelope.from);
  if (!has_nothing_newer || !host || pong.digest.max_revision == 0) return;
  this->contacts.RecordPeer(envelope.from, host->listed.domain, ping->asked_at);
}

void Membership::Handle(const PeerEnvelope& envelope, const PeerProbe& probe) {
  const std::optional<state::HostRecord> origin =
      this->view.Find(envelope.from);
  if (!origin) return;
  OpenPing ping{probe.target.id, probe.target.peer, this->clock.Now()};
  ping.is_relayed = true;
  ping.origin = origin->listed.peer;
  ping.origin_sequence = probe.sequence;
  this->SendPing(probe.target.peer, std::move(ping));
}

void Membership::Handle(const PeerEnvelope& /*envelope*/,
                        const PeerProbeResult& result) {
  if (!result.reachable) return;
  this->open_pings.UpdateIfPresent(result.sequence, [&result](OpenPing& ping) {
    if (ping.target == result.target) ping.is_answered = true;
  });
}

void Membership::Handle(const PeerEnvelope& envelope,
                        const PeerGoodbye& /*goodbye*/) {
  this->registry.ApplyGoodbye(envelope.from, envelope.incarnation);
}

void Membership::Handle(const PeerEnvelope& envelope,
                        const PeerUpdates& updates) {
  this->ApplyHostUpdates(updates.host_updates, envelope.from);
}

void Membership::ApplyHostUpdates(const std::vector<HostUpdate>& host_updates,
                                  const state::HostId& from) {
  for (const HostUpdate& update : host_updates) {
    this->registry.ApplyHostUpdate(update, from);
  }
}

void Membership::AnnounceLeaving(state::Duration spread) {
  if (this->has_said_goodbye.exchange(true)) return;
  this->registry.StartLeaving();
  const std::vector<state::HostRecord> hosts = this->view.ReachableHosts();
  const std::size_t batches =
      (hosts.size() + kGoodbyeBatch - 1) / kGoodbyeBatch;
  for (std::size_t batch = 0; batch < batches; ++batch) {
    std::vector<state::Endpoint> peers;
    for (std::size_t index = batch * kGoodbyeBatch;
         index < std::min(hosts.size(), (batch + 1) * kGoodbyeBatch); ++index) {
      peers.push_back(hosts[index].listed.peer);
    }
    const state::Duration delay = spread * static_cast<std::int64_t>(batch) /
                                  static_cast<std::int64_t>(batches);
    this->timers.RunAt(this->clock.Now() + delay, [this, peers] {
      for (const state::Endpoint& peer : peers) this->Send(peer, PeerGoodbye());
    });
  }
}

}  // namespace banyanknot::coordination
