#include "banyanknot/coordination/routing/server_directory.h"

#include <algorithm>
#include <utility>

#include "banyanknot/coordination/routing/least_cost_choice.h"

namespace banyanknot::coordination {
namespace {

/// Hosts that share a server's connections; twice the size of current fleets,
/// so that hosts and their replacements fit side by side.
constexpr std::size_t kHostsPerServer = 12;
/// Maximum concurrent requests of one host at one server.
constexpr std::size_t kMaxConnectionsPerServer = 8;
/// Added cost of a server in another failure domain, for latency and traffic.
constexpr state::Duration kCrossDomainCost = state::Milliseconds(2);

bool Contains(const std::vector<state::InstanceId>& ids,
              const state::InstanceId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

const ServerChoice& DefaultChoice() {
  static const LeastCostChoice kChoice;
  return kChoice;
}

}  // namespace

ServerDirectory::ServerDirectory(const Clock& clock,
                                 state::FailureDomainId own_domain)
    : ServerDirectory(clock, std::move(own_domain), DefaultChoice()) {}

ServerDirectory::ServerDirectory(const Clock& clock,
                                 state::FailureDomainId own_domain,
                                 const ServerChoice& choice)
    : clock(clock), own_domain(std::move(own_domain)), choice(choice) {}

std::size_t ServerDirectory::ConnectionLimitOf(
    const state::ServiceId& service) const {
  return this->connection_limits.Find(service).value_or(1);
}

TrackedServerPtr ServerDirectory::Put(const state::RegisteredServer& record) {
  const state::TimePoint now = this->clock.Now();
  TrackedServerPtr known = this->by_id.Find(record.id).value_or(nullptr);
  if (known != nullptr && IsSameIncarnation(known->Record(), record)) {
    known->Update(record, now);
    return nullptr;
  }
  if (known != nullptr) this->Remove(record.id);
  const TrackedServerPtr added = std::make_shared<TrackedServer>(
      record, this->ConnectionLimitOf(record.service));
  if (record.cold_for.count() > 0) added->SetColdFor(record.cold_for, now);
  if (this->departed.Contains(record)) added->MarkLeaving();
  {
    const std::lock_guard<std::mutex> lock(this->domains_mutex);
    added->SetDomainOut(this->domains_out.count(record.domain) > 0);
  }
  this->by_id.Insert(record.id, added);
  this->AddToPool(added);
  return known;
}

TrackedServerPtr ServerDirectory::Remove(const state::InstanceId& id) {
  TrackedServerPtr server = this->by_id.Take(id).value_or(nullptr);
  if (server == nullptr) return nullptr;
  server->MarkRemoved();
  if (server->IsLeaving()) this->departed.Add(server->Record());
  this->RemoveFromPool(server);
  return server;
}

std::vector<state::InstanceId> ServerDirectory::Ids() const {
  std::vector<state::InstanceId> ids;
  for (const TrackedServerPtr& server : this->All()) {
    ids.push_back(server->Record().id);
  }
  return ids;
}

// Returns a copy, since a server's lock must not be taken while a shard is
// locked.
std::vector<TrackedServerPtr> ServerDirectory::All() const {
  std::vector<TrackedServerPtr> servers;
  this->by_id.ForEach([&servers](const state::InstanceId& /*id*/,
                                 const TrackedServerPtr& server) {
    servers.push_back(server);
  });
  return servers;
}

void ServerDirectory::AddToPool(const TrackedServerPtr& server) {
  this->by_service.Update(server->Record().service, [&server](Pool& pool) {
    std::vector<TrackedServerPtr> servers;
    if (pool != nullptr) servers = *pool;
    servers.push_back(server);
    pool = std::make_shared<const std::vector<TrackedServerPtr>>(
        std::move(servers));
  });
}

void ServerDirectory::RemoveFromPool(const TrackedServerPtr& server) {
  this->by_service.UpdateIfPresent(
      server->Record().service, [&server](Pool& pool) {
        std::vector<TrackedServerPtr> servers = *pool;
        servers.erase(std::remove(servers.begin(), servers.end(), server),
                      servers.end());
        pool = std::make_shared<const std::vector<TrackedServerPtr>>(
            std::move(servers));
      });
}

ServerDirectory::Pool ServerDirectory::PoolOf(
    const state::ServiceId& service) const {
  static const Pool kEmpty =
      std::make_shared<const std::vector<TrackedServerPtr>>();
  return this->by_service.Find(service).value_or(kEmpty);
}

std::size_t ServerDirectory::SetDomainOut(const state::FailureDomainId& domain,
                                          bool is_out) {
  {
    const std::lock_guard<std::mutex> lock(this->domains_mutex);
    if (is_out) {
      if (!this->domains_out.insert(domain).second) return 0;
    } else if (this->domains_out.erase(domain) == 0) {
      return 0;
    }
  }
  std::size_t affected = 0;
  for (const TrackedServerPtr& server : this->All()) {
    if (server->Record().domain != domain) continue;
    if (!is_out) server->Suspect(ServerSuspicion::kDomainReturned);
    server->SetDomainOut(is_out);
    ++affected;
  }
  return affected;
}

std::vector<TrackedServerPtr> ServerDirectory::Suspects() const {
  std::vector<TrackedServerPtr> servers = this->All();
  servers.erase(std::remove_if(servers.begin(), servers.end(),
                               [](const TrackedServerPtr& server) {
                                 return !server->NeedsHealthCheck();
                               }),
                servers.end());
  return servers;
}

std::vector<state::FailureDomainId> ServerDirectory::DomainsOut() const {
  const std::lock_guard<std::mutex> lock(this->domains_mutex);
  return {this->domains_out.begin(), this->domains_out.end()};
}

void ServerDirectory::ApplyServices(const state::RouteTable& table) {
  for (const state::ServiceSpec& spec : table.Services()) {
    const std::size_t limit = std::clamp<std::size_t>(
        spec.max_connections / kHostsPerServer, 1, kMaxConnectionsPerServer);
    this->connection_limits.Update(
        spec.id, [limit](std::size_t& kept) { kept = limit; });
    for (const TrackedServerPtr& server : *this->PoolOf(spec.id)) {
      server->SetConnectionLimit(limit);
    }
  }
}

TrackedServerPtr ServerDirectory::Pick(
    const state::ServiceId& service,
    const std::vector<state::InstanceId>& tried, state::TimePoint now) {
  const Pool pool = this->PoolOf(service);
  std::vector<const TrackedServerPtr*> candidates;
  std::vector<ServerObservation> observed;
  candidates.reserve(pool->size());
  observed.reserve(pool->size());
  for (const TrackedServerPtr& server : *pool) {
    if (Contains(tried, server->Record().id)) continue;
    std::optional<ServerObservation> observation = server->Observe(now);
    if (!observation) continue;
    if (server->Record().domain != this->own_domain) {
      observation->added_time += kCrossDomainCost;
    }
    candidates.push_back(&server);
    observed.push_back(*observation);
  }
  if (candidates.empty()) return nullptr;
  const TrackedServerPtr& chosen = *candidates[this->choice.Choose(observed)];
  if (!chosen->TryReserve(now)) return nullptr;
  std::atomic<std::uint64_t>& count =
      chosen->Record().domain == this->own_domain ? this->own_domain_choices
                                                  : this->other_domain_choices;
  count.fetch_add(1, std::memory_order_relaxed);
  return chosen;
}

ServerChoiceCounts ServerDirectory::CountChoices() const {
  ServerChoiceCounts counts;
  counts.own_domain = this->own_domain_choices.load(std::memory_order_relaxed);
  counts.other_domain =
      this->other_domain_choices.load(std::memory_order_relaxed);
  return counts;
}

bool ServerDirectory::HasUsableServer(
    const state::ServiceId& service,
    const std::vector<state::InstanceId>& tried, state::TimePoint now) const {
  const Pool pool = this->PoolOf(service);
  return std::any_of(
      pool->begin(), pool->end(), [&](const TrackedServerPtr& server) {
        return server->IsUsable(now) && !Contains(tried, server->Record().id);
      });
}

std::optional<state::TimePoint> ServerDirectory::BackOffEnd(
    const state::ServiceId& service,
    const std::vector<state::InstanceId>& tried, state::TimePoint now) const {
  const Pool pool = this->PoolOf(service);
  std::optional<state::TimePoint> earliest;
  for (const TrackedServerPtr& server : *pool) {
    if (Contains(tried, server->Record().id)) continue;
    const std::optional<state::TimePoint> end = server->BackOffEnd(now);
    if (end && (!earliest || *end < *earliest)) earliest = end;
  }
  return earliest;
}

bool ServerDirectory::HasCapacity(const state::ServiceId& service,
                                  const std::vector<state::InstanceId>& tried,
                                  state::TimePoint now) const {
  const Pool pool = this->PoolOf(service);
  return std::any_of(
      pool->begin(), pool->end(), [&](const TrackedServerPtr& server) {
        return server->Observe(now) && !Contains(tried, server->Record().id);
      });
}

state::Duration ServerDirectory::TypicalReplyTime(
    const state::ServiceId& service, state::TimePoint now) const {
  const Pool pool = this->PoolOf(service);
  std::optional<state::Duration> shortest;
  for (const TrackedServerPtr& server : *pool) {
    if (!server->IsUsable(now)) continue;
    const state::Duration typical = server->TypicalReplyTime(now);
    if (!shortest || typical < *shortest) shortest = typical;
  }
  return shortest.value_or(state::Duration(0));
}

ReachabilityCounts ServerDirectory::CountReachability(
    state::TimePoint since) const {
  ReachabilityCounts count;
  for (const TrackedServerPtr& server : this->All()) {
    if (server->Record().domain == this->own_domain) continue;
    if (server->IsUnreachable()) {
      ++count.unreachable;
    } else if (server->HasRepliedSince(since)) {
      ++count.replied;
    }
  }
  return count;
}

}  // namespace banyanknot::coordination
