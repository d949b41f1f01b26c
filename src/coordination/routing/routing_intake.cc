#include "banyanknot/coordination/routing/routing_intake.h"

#include <algorithm>
#include <string>
#include <utility>

namespace banyanknot::coordination {
namespace {

/// Servers whose entries expired during an outage of the source register again
/// within two seconds of its return; the rest is for propagation.
constexpr state::Duration kRemovalGrace = state::Milliseconds(2'300);
/// Operators write anew what the source has lost, but may take some seconds.
constexpr state::Duration kDomainReturnGrace = state::Milliseconds(10'000);

}  // namespace

RoutingIntake::RoutingIntake(const Clock& clock, TimerService& timers,
                             RelayClient& client, RouteDirectory& routes,
                             ServerDirectory& servers,
                             ServerHealthChecker& checker, EventLog& log)
    : clock(clock),
      timers(timers),
      client(client),
      routes(routes),
      servers(servers),
      checker(checker),
      log(log) {}

void RoutingIntake::SetRoutesListener(RoutesListener routes_listener) {
  this->listener = std::move(routes_listener);
}

void RoutingIntake::Apply(const RoutingBatch& batch, RemovalMode mode) {
  for (const RoutingChange& change : batch.changes) {
    this->ApplyOne(change, batch, mode);
  }
}

void RoutingIntake::ApplyAll(const RoutingBatch& batch, RemovalMode mode) {
  std::set<state::InstanceId> present;
  std::set<state::FailureDomainId> out;
  for (const RoutingChange& change : batch.changes) {
    if (const state::RegisteredServer* server =
            std::get_if<state::RegisteredServer>(&change)) {
      present.insert(server->id);
    } else if (const UnreadableEntry* entry =
                   std::get_if<UnreadableEntry>(&change)) {
      if (entry->server) present.insert(*entry->server);
    } else if (const DomainStateChange* domain_change =
                   std::get_if<DomainStateChange>(&change)) {
      out.insert(domain_change->domain);
    }
  }
  for (const state::FailureDomainId& domain : this->servers.DomainsOut()) {
    if (out.count(domain) > 0) continue;
    if (mode == RemovalMode::kAfterLoss) {
      this->ReturnDomainLater(domain);
    } else {
      this->ApplyDomain({domain, false});
    }
  }
  this->Apply(batch, mode);
  for (const state::InstanceId& id : this->servers.Ids()) {
    if (present.count(id) == 0) this->RemoveServer(id, mode);
  }
}

void RoutingIntake::ApplyOne(const RoutingChange& change,
                             const RoutingBatch& batch, RemovalMode mode) {
  if (const state::RouteTablePtr* table =
          std::get_if<state::RouteTablePtr>(&change)) {
    this->ApplyRoutes(*table, batch);
  } else if (const DomainStateChange* domain_change =
                 std::get_if<DomainStateChange>(&change)) {
    this->ApplyDomain(*domain_change);
  } else if (const state::RegisteredServer* server =
                 std::get_if<state::RegisteredServer>(&change)) {
    this->ApplyServer(*server);
  } else if (const ServerRemoval* removal =
                 std::get_if<ServerRemoval>(&change)) {
    this->RemoveServer(removal->id, mode);
  } else if (const UnreadableEntry* entry =
                 std::get_if<UnreadableEntry>(&change)) {
    if (entry->server) this->KeepServer(*entry->server);
    this->log.Write(EventCode::kSourceEntryUnreadable,
                    {{"key", entry->key}, {"reason", entry->reason}});
  }
}

void RoutingIntake::ApplyRoutes(const state::RouteTablePtr& table,
                                const RoutingBatch& batch) {
  if (!this->routes.InstallIfNewer(table)) return;
  this->servers.ApplyServices(*table);
  this->CheckSuspects();
  if (this->listener) this->listener(*table);
  this->log.Write(EventCode::kRoutesInForce,
                  {{"version", std::to_string(table->Version())},
                   {"routes", std::to_string(table->Routes().size())},
                   {"services", std::to_string(table->Services().size())},
                   {"revision", std::to_string(batch.position.revision)},
                   {"era", std::to_string(batch.position.era)},
                   {"from", batch.is_passed_on ? "host" : "source"}});
}

void RoutingIntake::ReturnDomainLater(const state::FailureDomainId& domain) {
  const state::TimePoint due = this->clock.Now() + kDomainReturnGrace;
  {
    const std::lock_guard<std::mutex> lock(this->deferred_mutex);
    this->deferred_returns[domain] = due;
  }
  this->timers.RunAt(due, [this, domain, due] {
    bool is_due = false;
    {
      const std::lock_guard<std::mutex> lock(this->deferred_mutex);
      const auto found = this->deferred_returns.find(domain);
      is_due = found != this->deferred_returns.end() && found->second == due;
    }
    if (is_due) this->ApplyDomain({domain, false});
  });
}

void RoutingIntake::KeepDomain(const state::FailureDomainId& domain) {
  const std::lock_guard<std::mutex> lock(this->deferred_mutex);
  this->deferred_returns.erase(domain);
}

void RoutingIntake::ApplyDomain(const DomainStateChange& domain_change) {
  this->KeepDomain(domain_change.domain);
  const std::size_t affected =
      this->servers.SetDomainOut(domain_change.domain, domain_change.is_out);
  if (!domain_change.is_out) this->CheckSuspects();
  this->log.Write(EventCode::kDomainState,
                  {{"domain", domain_change.domain.Text()},
                   {"state", domain_change.is_out ? "out" : "in"},
                   {"servers", std::to_string(affected)}});
}

void RoutingIntake::CheckSuspects() {
  for (const TrackedServerPtr& server : this->servers.Suspects()) {
    this->checker.Check(server);
  }
}

void RoutingIntake::KeepServer(const state::InstanceId& id) {
  const std::lock_guard<std::mutex> lock(this->deferred_mutex);
  this->deferred_removals.erase(id);
}

void RoutingIntake::ApplyServer(const state::RegisteredServer& server) {
  this->KeepServer(server.id);
  const TrackedServerPtr replaced = this->servers.Put(server);
  if (replaced != nullptr) {
    this->client.CloseConnections(server.id, replaced->Record().endpoint);
  }
  this->log.Write(
      EventCode::kServerRegistered,
      {{"server", server.id.Text()},
       {"service", server.service.Text()},
       {"address", ToText(server.endpoint)},
       {"domain", server.domain.Text()},
       {"leaving", server.is_leaving ? "true" : "false"},
       {"cold_ms", std::to_string(state::ToMilliseconds(server.cold_for))},
       {"started", std::to_string(server.started_unix_ms)}});
}

void RoutingIntake::RemoveServer(const state::InstanceId& id,
                                 RemovalMode mode) {
  if (mode == RemovalMode::kImmediate) {
    this->RemoveNow(id);
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(this->deferred_mutex);
    this->deferred_removals.insert(id);
  }
  this->timers.RunAt(this->clock.Now() + kRemovalGrace, [this, id] {
    bool is_still_gone = false;
    {
      const std::lock_guard<std::mutex> lock(this->deferred_mutex);
      is_still_gone = this->deferred_removals.erase(id) > 0;
    }
    if (is_still_gone) this->RemoveNow(id);
  });
}

void RoutingIntake::RemoveNow(const state::InstanceId& id) {
  const TrackedServerPtr removed = this->servers.Remove(id);
  if (removed == nullptr) return;
  this->client.CloseConnections(id, removed->Record().endpoint);
  this->log.Write(
      EventCode::kServerRemoved,
      {{"server", id.Text()}, {"service", removed->Record().service.Text()}});
}

}  // namespace banyanknot::coordination
