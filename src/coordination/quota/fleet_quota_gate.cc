#include "banyanknot/coordination/quota/fleet_quota_gate.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace banyanknot::coordination {
namespace {

/// An accountant that borrows asks up to all other failure domains first.
constexpr state::Duration kAskTimeout = state::Milliseconds(45);
/// Hosts asked before this one decides by itself.
constexpr unsigned kMaxAsked = 2;
/// Several times within AskerCensus::kAskerLifetime.
constexpr state::Duration kAnnounceInterval = state::Milliseconds(500);
/// An unused refund lapses: its credit has accrued anew by then.
constexpr state::Duration kRefundLifetime = state::Milliseconds(1'000);

}  // namespace

/// Credit that is being asked for.
struct FleetQuotaGate::Ask {
  state::WorkspacePtr workspace;
  CreditRequest request;
  unsigned asked_hosts = 0;
};

FleetQuotaGate::FleetQuotaGate(const Clock& clock, TimerService& timers,
                               const RouteDirectory& routes, state::HostId own,
                               QuotaLink& link, AccountantDirectory& directory,
                               QuotaAccountant& accountant, EventLog& log)
    : clock(clock),
      timers(timers),
      routes(routes),
      own(std::move(own)),
      link(link),
      directory(directory),
      accountant(accountant),
      log(log) {}

void FleetQuotaGate::Start() { this->Announce(); }

void FleetQuotaGate::Announce() {
  const state::TimePoint now = this->clock.Now();
  const state::RouteTablePtr table = this->routes.Current();
  const std::optional<state::HostAdvert> target = this->Accountant(now);
  const bool has_quotas = table != nullptr && table->HasQuotas();
  if (has_quotas && !std::exchange(this->has_begun, true)) {
    this->accountant.Begin(now);
  }
  if (has_quotas && target) {
    this->link.AskCredit(
        target->endpoint, this->MakeRequest(now), kAskTimeout,
        [this, id = target->id](const std::optional<CreditGrant>& grant) {
          const state::TimePoint answered_at = this->clock.Now();
          if (grant) {
            this->OnAskedElsewhere(*grant, answered_at);
          } else {
            this->directory.Suspect(id, answered_at);
          }
        });
  }
  this->timers.RunAt(now + kAnnounceInterval, [this] { this->Announce(); });
}

void FleetQuotaGate::OnAskedElsewhere(const CreditGrant& grant,
                                      state::TimePoint now) {
  this->accountant.Learn(grant.known_hosts, now);
  // Until now, this host's part has accrued there.
  this->accountant.BeginTerm(now);
}

CreditRequest FleetQuotaGate::MakeRequest(state::TimePoint now) const {
  CreditRequest request;
  request.host = this->own;
  request.known_hosts = this->accountant.Known(now);
  return request;
}

std::optional<state::HostAdvert> FleetQuotaGate::Accountant(
    state::TimePoint now) {
  std::optional<state::HostAdvert> target = this->directory.OwnAccountant(now);
  const state::HostId id = target ? target->id : this->own;
  {
    const std::lock_guard<std::mutex> lock(this->accountant_mutex);
    if (this->asked_accountant == id) return target;
    const bool is_first = !this->asked_accountant.has_value();
    this->asked_accountant = id;
    // Until now the credit accrued elsewhere.
    if (!target && !is_first) this->accountant.BeginTerm(now);
  }
  this->log.Write(EventCode::kQuotaAccountantChanged, {{"host", id.Text()}});
  return target;
}

void FleetQuotaGate::Acquire(const state::WorkspacePtr& workspace,
                             QuotaHandler handler) {
  const state::TimePoint now = this->clock.Now();
  bool is_refunded = false;
  bool begins_ask = false;
  this->queues.Update(workspace->id, [&](Queue& queue) {
    is_refunded =
        queue.refunds > 0 && now - queue.refunded_at <= kRefundLifetime;
    if (is_refunded) {
      --queue.refunds;
      return;
    }
    queue.refunds = 0;
    queue.waiters.push_back(std::move(handler));
    begins_ask = !std::exchange(queue.is_asking, true);
  });
  if (is_refunded) {
    handler({});
  } else if (begins_ask) {
    this->AskFor(workspace);
  }
}

void FleetQuotaGate::Refund(const state::WorkspaceId& workspace) {
  const state::TimePoint now = this->clock.Now();
  this->queues.Update(workspace, [now](Queue& queue) {
    if (now - queue.refunded_at > kRefundLifetime) queue.refunds = 0;
    ++queue.refunds;
    queue.refunded_at = now;
  });
}

void FleetQuotaGate::AskFor(const state::WorkspacePtr& workspace) {
  const std::shared_ptr<Ask> ask = std::make_shared<Ask>();
  ask->workspace = workspace;
  ask->request = this->MakeRequest(this->clock.Now());
  ask->request.workspace = workspace->id;
  ask->request.quota = workspace->quota;
  const state::RouteTablePtr table = this->routes.Current();
  if (table != nullptr) ask->request.routes_version = table->Version();
  this->queues.ReadIfPresent(workspace->id, [&ask](const Queue& queue) {
    ask->request.count = static_cast<unsigned>(queue.waiters.size());
  });
  this->Send(ask);
}

void FleetQuotaGate::Send(const std::shared_ptr<Ask>& ask) {
  const std::optional<state::HostAdvert> target =
      this->Accountant(this->clock.Now());
  if (!target || ask->asked_hosts >= kMaxAsked) {
    this->accountant.Take(ask->request,
                          [this, ask](const std::optional<CreditGrant>& grant) {
                            this->OnGrant(ask, grant.value_or(CreditGrant()));
                          });
    return;
  }
  ++ask->asked_hosts;
  this->link.AskCredit(
      target->endpoint, ask->request, kAskTimeout,
      [this, ask, id = target->id](const std::optional<CreditGrant>& grant) {
        if (grant) {
          this->OnAskedElsewhere(*grant, this->clock.Now());
          this->OnGrant(ask, *grant);
          return;
        }
        this->directory.Suspect(id, this->clock.Now());
        this->Send(ask);
      });
}

void FleetQuotaGate::OnGrant(const std::shared_ptr<Ask>& ask,
                             const CreditGrant& grant) {
  std::vector<QuotaHandler> decided;
  bool has_more = false;
  this->queues.Update(ask->workspace->id, [&](Queue& queue) {
    const std::size_t count =
        std::min<std::size_t>(ask->request.count, queue.waiters.size());
    const auto end = queue.waiters.begin() + static_cast<std::ptrdiff_t>(count);
    decided.assign(std::make_move_iterator(queue.waiters.begin()),
                   std::make_move_iterator(end));
    queue.waiters.erase(queue.waiters.begin(), end);
    has_more = !queue.waiters.empty();
    queue.is_asking = has_more;
  });
  for (std::size_t index = 0; index < decided.size(); ++index) {
    QuotaDecision decision;
    decision.is_admitted = index < grant.granted;
    decision.retry_after = grant.retry_after;
    decided[index](decision);
  }
  if (has_more) this->AskFor(ask->workspace);
}

}  // namespace banyanknot::coordination
