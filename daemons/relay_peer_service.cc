#include "relay_peer_service.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace banyanknot::daemons {
namespace {

constexpr unsigned kHttpBadRequest = 400;
constexpr unsigned kHttpNotFound = 404;
constexpr unsigned kHttpUnavailable = 503;

/// A follower that asks for more is answered earlier.
constexpr state::Duration kMaxFollowerWait = state::Milliseconds(5'000);

protocol::HttpResponse Decline(const char* reason) {
  protocol::HttpResponse response;
  response.status = kHttpUnavailable;
  response.headers.push_back({protocol::kDeclinedHeader, reason});
  return response;
}

protocol::HttpResponse Status(unsigned status) {
  protocol::HttpResponse response;
  response.status = status;
  return response;
}

}  // namespace

RelayPeerService::RelayPeerService(const coordination::Clock& clock,
                                   const protocol::RelayCodec& codec,
                                   const coordination::Readiness& readiness,
                                   const coordination::RouteDirectory& routes,
                                   coordination::GathererRoster& roster,
                                   coordination::ChangeHistory& history,
                                   coordination::TimerService& timers,
                                   coordination::RelayRunner& executor,
                                   coordination::QuotaAccountant& accountant)
    : clock(clock),
      codec(codec),
      readiness(readiness),
      routes(routes),
      roster(roster),
      history(history),
      timers(timers),
      executor(executor),
      accountant(accountant) {}

void RelayPeerService::Handle(
    std::shared_ptr<transport::HttpExchange> exchange) {
  protocol::HttpRequest request = exchange->Request();
  const state::Result<protocol::DelegationHeader, protocol::ProtocolErrorCode>
      delegation = protocol::TakeDelegationHeader(request);
  if (state::IsOk(delegation)) {
    this->HandleDelegated(exchange, request, state::ValueOf(delegation));
  } else if (state::ErrorOf(delegation) !=
             protocol::ProtocolErrorCode::kMissing) {
    exchange->Respond(Decline("hop_version"));
  } else if (request.target == protocol::kFleetLivePath) {
    exchange->Respond({});
  } else if (request.target == protocol::kAdvertsPath) {
    exchange->Respond(this->ExchangeAdverts(request.body));
  } else if (request.target == protocol::kCreditPath) {
    this->GrantCredit(exchange);
  } else if (const std::optional<protocol::ChangesQuery> query =
                 protocol::DecodeChangesTarget(request.target)) {
    this->PassChanges(exchange, *query);
  } else {
    exchange->Respond(Status(kHttpNotFound));
  }
}

void RelayPeerService::GrantCredit(
    const std::shared_ptr<transport::HttpExchange>& exchange) {
  const state::Result<coordination::CreditRequest, protocol::ProtocolError>
      request = protocol::DecodeCreditRequest(exchange->Request().body);
  if (!state::IsOk(request)) {
    exchange->Respond(Status(kHttpBadRequest));
    return;
  }
  const coordination::CreditHandler respond =
      [exchange](const std::optional<coordination::CreditGrant>& grant) {
        protocol::HttpResponse response;
        response.body = protocol::EncodeCreditGrant(
            grant.value_or(coordination::CreditGrant()));
        exchange->Respond(std::move(response));
      };
  switch (state::ValueOf(request).action) {
    case coordination::CreditAction::kTake:
      this->accountant.Take(state::ValueOf(request), respond);
      break;
    case coordination::CreditAction::kBorrow:
      respond(this->accountant.Lend(state::ValueOf(request)));
      break;
  }
}

void RelayPeerService::PassChanges(
    const std::shared_ptr<transport::HttpExchange>& exchange,
    const protocol::ChangesQuery& query) {
  const state::TimePoint now = this->clock.Now();
  protocol::HttpResponse response;
  if (query.wants_snapshot) {
    response.body = protocol::EncodePassedChanges(this->history.Snapshot(now));
    exchange->Respond(std::move(response));
    return;
  }
  const coordination::PassedChanges known =
      this->history.After(query.after, now);
  if (known.is_history_gone) {
    response.body = protocol::EncodePassedChanges(known);
    exchange->Respond(std::move(response));
    return;
  }
  // Runs at the next change or at the end of the wait, whichever is first; the
  // exchange takes only one response.
  const std::shared_ptr<std::function<void()>> respond =
      std::make_shared<std::function<void()>>(
          [this, exchange, after = query.after] {
            protocol::HttpResponse changes;
            changes.body = protocol::EncodePassedChanges(
                this->history.After(after, this->clock.Now()));
            exchange->Respond(std::move(changes));
          });
  this->timers.RunAt(now + std::min(query.wait, kMaxFollowerWait),
                     [respond] { (*respond)(); });
  this->history.NotifyAfter(query.after, respond);
}

void RelayPeerService::HandleDelegated(
    const std::shared_ptr<transport::HttpExchange>& exchange,
    const protocol::HttpRequest& request,
    const protocol::DelegationHeader& delegation) {
  if (!this->readiness.IsReady()) {
    exchange->Respond(Decline("not_ready"));
    return;
  }
  const state::RouteTablePtr table = this->routes.Current();
  if (table == nullptr || table->Version() != delegation.routes_version) {
    exchange->Respond(Decline("routes_version"));
    return;
  }
  state::RelayRequest decoded = this->codec.DecodeRequest(
      request, this->clock.Now() - delegation.elapsed);
  decoded.outside_time = delegation.outside_time;
  decoded.workspace = delegation.workspace;
  decoded.priority = delegation.priority;
  const std::string id = decoded.id;
  const std::uint64_t run_number = this->executor.Run(
      std::move(decoded),
      [this, exchange, id](const coordination::RelayAnswer& answer) {
        protocol::HttpResponse response = this->codec.EncodeAnswer(answer, id);
        response.headers.push_back({protocol::kGatheredHeader, "1"});
        exchange->Respond(std::move(response));
      });
  if (run_number == coordination::RelayRunner::kNoRun) return;
  exchange->OnClosed([this, run_number] { this->executor.Cancel(run_number); });
}

protocol::HttpResponse RelayPeerService::ExchangeAdverts(
    const std::string& body) {
  const state::Result<std::vector<state::HostAdvert>, protocol::ProtocolError>
      adverts = protocol::DecodeAdverts(body);
  if (!state::IsOk(adverts) || state::ValueOf(adverts).empty()) {
    return Status(kHttpBadRequest);
  }
  const state::TimePoint now = this->clock.Now();
  const state::HostAdvert& sender = state::ValueOf(adverts).front();
  this->roster.Hear(sender, now);
  protocol::HttpResponse response;
  const bool is_ready = this->readiness.IsReady();
  std::vector<state::HostAdvert> known =
      this->roster.Adverts(sender.domain, is_ready, now);
  for (const state::HostAdvert& leader :
       this->roster.LeadersExcept(sender.domain, is_ready, now)) {
    if (known.size() < protocol::kMaxAdverts) known.push_back(leader);
  }
  response.body = protocol::EncodeAdverts(known);
  return response;
}

}  // namespace banyanknot::daemons
