#include "banyanknot/coordination/routing/server_health_checker.h"

#include <utility>

namespace banyanknot::coordination {
namespace {

/// Health checks wait for a slot like any request, so this includes the
/// queueing delay of a slow server.
constexpr state::Duration kHealthTimeout = state::Milliseconds(800);

std::string AgeText(const std::optional<state::Duration>& age) {
  return age ? std::to_string(state::ToMilliseconds(*age)) : "never";
}

}  // namespace

ServerHealthChecker::ServerHealthChecker(const Clock& clock,
                                         TimerService& timers,
                                         RelayClient& client,
                                         const RouteDirectory& routes,
                                         EventLog& log)
    : clock(clock), timers(timers), client(client), routes(routes), log(log) {}

void ServerHealthChecker::Check(const TrackedServerPtr& server) {
  if (!this->under_check.Insert(server.get(), true)) return;
  this->log.Write(EventCode::kServerDoubted,
                  {{"server", server->Record().id.Text()},
                   {"service", server->Record().service.Text()},
                   {"doubt", std::string(server->SuspicionName())},
                   {"last_reply_ms_ago",
                    AgeText(server->TimeSinceReply(this->clock.Now()))}});
  this->ScheduleCheck(server);
}

void ServerHealthChecker::ScheduleCheck(const TrackedServerPtr& server) {
  this->timers.RunAt(server->NextCheckAt(this->clock.Now()),
                     [this, server] { this->SendCheck(server); });
}

std::optional<HealthCheck> ServerHealthChecker::MakeCheck(
    const TrackedServerPtr& server) const {
  const state::RouteTablePtr table = this->routes.Current();
  const state::RegisteredServer& record = server->Record();
  const state::ServiceSpec* spec =
      table == nullptr ? nullptr : table->FindService(record.service);
  if (spec == nullptr || !server->NeedsHealthCheck()) return std::nullopt;
  return HealthCheck{record.id, record.endpoint, spec->health_path,
                     kHealthTimeout, server};
}

void ServerHealthChecker::EndCheck(const TrackedServerPtr& server) {
  this->under_check.Take(server.get());
  // A call of Check() has had no effect until now, though what made it
  // necessary may have come after the decision to end.
  if (this->MakeCheck(server)) this->Check(server);
}

void ServerHealthChecker::SendCheck(const TrackedServerPtr& server) {
  std::optional<HealthCheck> check = this->MakeCheck(server);
  if (!check) {
    this->EndCheck(server);
    return;
  }
  // A reply since the check was scheduled may have asked for a back-off.
  if (!server->AcceptsRequests(this->clock.Now())) {
    this->ScheduleCheck(server);
    return;
  }
  this->client.CheckHealth(
      std::move(*check),
      [this, server](const std::optional<ServerHealth>& health) {
        this->OnHealth(server, health);
      });
}

void ServerHealthChecker::OnHealth(const TrackedServerPtr& server,
                                   const std::optional<ServerHealth>& health) {
  const state::TimePoint now = this->clock.Now();
  const state::RegisteredServer& record = server->Record();
  if (!health || !health->is_healthy) {
    server->RecordFailedCheck();
    this->ScheduleCheck(server);
    return;
  }
  if (health->server != record.id) {
    server->MarkLeaving();
  } else {
    server->ClearSuspicion(health->cold_for, now);
  }
  this->EndCheck(server);
  this->log.Write(
      EventCode::kServerCleared,
      {{"server", record.id.Text()},
       {"found", health->server.Text()},
       {"cold_ms", std::to_string(state::ToMilliseconds(health->cold_for))}});
}

}  // namespace banyanknot::coordination
