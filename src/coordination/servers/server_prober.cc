#include "banyanknot/coordination/servers/server_prober.h"

#include <algorithm>
#include <utility>

#include "banyanknot/coordination/fleet/rendezvous.h"

namespace banyanknot::coordination {
namespace {

/// Hash prefix that makes probe assignment independent of cold-slot ownership.
constexpr const char* kProbeSubject = "probe\n";

}  // namespace

ServerProber::ServerProber(const Clock& clock, TimerService& timers,
                           RandomSource& random, ServerHealthClient& client,
                           state::ServerTable& servers,
                           const HostRoster& roster, state::HostId self,
                           const ServerPhaseRules& rules,
                           ServerPhaseJournal& journal,
                           ServerProbeOptions options)
    : clock(clock),
      timers(timers),
      random(random),
      client(client),
      servers(servers),
      roster(roster),
      self(std::move(self)),
      rules(rules),
      journal(journal),
      options(options) {}

void ServerProber::Start() {
  const std::uint64_t interval =
      static_cast<std::uint64_t>(this->options.interval.count());
  const state::Duration delay = this->options.interval / 2 +
                                state::Duration(this->random.Below(interval));
  this->timers.RunAt(this->clock.Now() + delay, [this] {
    this->ProbeOne();
    this->Start();
  });
}

void ServerProber::ProbeOne() {
  const state::TimePoint now = this->clock.Now();
  const std::optional<Candidate> candidate = this->ChooseCandidate(now);
  if (!candidate) return;
  this->servers.UpdateIfPresent(
      candidate->server,
      [now](state::ServerRecord& record) { record.probed_at = now; });
  this->client.Read(
      candidate->server, candidate->limits.endpoint,
      [this, server = candidate->server](const HealthResult& result) {
        this->OnHealth(server, result);
      });
}

std::optional<ServerProber::Candidate> ServerProber::ChooseCandidate(
    state::TimePoint now) const {
  std::vector<Candidate> candidates = this->StaleServers(now);
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& left, const Candidate& right) {
              return left.last_known_at < right.last_known_at;
            });
  for (Candidate& candidate : candidates) {
    if (this->IsAssignedToSelf(candidate)) return std::move(candidate);
  }
  return std::nullopt;
}

std::vector<ServerProber::Candidate> ServerProber::StaleServers(
    state::TimePoint now) const {
  std::vector<Candidate> stale;
  this->servers.ForEach(
      [&](const state::ServerId& id, const state::ServerRecord& record) {
        const bool may_get_work = record.is_listed && !record.domain_was_out &&
                                  record.limits.endpoint.port != 0;
        const state::TimePoint last_known_at =
            std::max(record.last_reply_at, record.probed_at);
        if (may_get_work && now - last_known_at > this->options.min_staleness) {
          stale.push_back({id, record.limits, last_known_at});
        }
      });
  return stale;
}

bool ServerProber::IsAssignedToSelf(const Candidate& candidate) const {
  const std::vector<state::HostId> hosts =
      this->roster.EligibleHosts(candidate.limits.domain);
  const bool is_candidate =
      std::find(hosts.begin(), hosts.end(), this->self) != hosts.end();
  return is_candidate && RendezvousRank(kProbeSubject + candidate.server.Text(),
                                        this->self, hosts) == 0;
}

void ServerProber::OnHealth(const state::ServerId& server,
                            const HealthResult& result) {
  if (!state::IsOk(result)) return;
  const state::TimePoint now = this->clock.Now();
  MaybePhaseChange change;
  this->servers.UpdateIfPresent(server, [&](state::ServerRecord& record) {
    change = this->rules.OnHealth(record, state::ValueOf(result), now);
  });
  this->journal.Record(server, change);
}

}  // namespace banyanknot::coordination
