#include "banyanknot/coordination/workspace/workspace_guard.h"

#include <optional>
#include <string>
#include <utility>

namespace banyanknot::coordination {
namespace {

/// Retry-after time of a host whose view is too old to decide on a key; another
/// host may decide at once.
constexpr state::Duration kUncertainRetryAfter = state::Milliseconds(200);
/// Credit of a request that reached no server is returned this long.
constexpr state::Duration kRefundTime = state::Milliseconds(1'000);

// Run numbers of requests that pass unchanged and of guarded ones share one
// space.
std::uint64_t PassedNumber(std::uint64_t number) { return number * 2; }
std::uint64_t GuardedNumber(std::uint64_t number) { return number * 2 + 1; }
bool IsGuarded(std::uint64_t number) { return number % 2 == 1; }

/// Returns true if the answer proves that the request reached no server.
bool HasReachedNoServer(const RelayAnswer& answer) {
  switch (answer.outcome) {
    case state::RelayOutcome::kNotRun:
    case state::RelayOutcome::kNotConfigured:
    case state::RelayOutcome::kNoRoute:
    case state::RelayOutcome::kInvalid:
      return true;
    case state::RelayOutcome::kAnswered:
      return answer.reply.is_proven_not_run;
    default:
      return false;
  }
}

}  // namespace

/// A request of a workspace.
struct WorkspaceGuard::Order {
  std::uint64_t number = 0;
  state::WorkspacePtr workspace;
  state::RelayRequest request;
  RelayAnswerHandler handler;
  state::TimePoint admitted_at;
};

WorkspaceGuard::WorkspaceGuard(const Clock& clock, const RouteDirectory& routes,
                               const ConfigurationAge& age,
                               KeyViewLimits limits, QuotaGate& quotas,
                               RelayRunner& next, RelayJournal& journal)
    : clock(clock),
      routes(routes),
      age(age),
      limits(limits),
      quotas(quotas),
      next(next),
      journal(journal) {}

std::uint64_t WorkspaceGuard::Refuse(const state::RelayRequest& request,
                                     state::RelayOutcome outcome,
                                     state::Duration retry_after,
                                     const RelayAnswerHandler& handler) {
  RelayAnswer answer;
  answer.outcome = outcome;
  answer.retry_after = retry_after;
  this->journal.RecordRefusal(request, outcome, this->routes.Current(),
                              this->clock.Now());
  handler(answer);
  return kNoRun;
}

std::uint64_t WorkspaceGuard::Run(state::RelayRequest request,
                                  RelayAnswerHandler handler) {
  const state::RouteTablePtr table = this->routes.Current();
  if (table == nullptr || !table->RequiresKeys()) {
    return PassedNumber(this->next.Run(std::move(request), std::move(handler)));
  }
  request.identity_headers.clear();
  const std::string path = request.target.substr(0, request.target.find('?'));
  const state::Route* route = table->Match(request.host, path);
  if (route == nullptr) {
    return PassedNumber(this->next.Run(std::move(request), std::move(handler)));
  }
  const CallerDecision decision =
      CheckCaller(*table, *route, request.key, this->age.Age(this->clock.Now()),
                  this->limits);
  switch (decision.verdict) {
    case CallerVerdict::kNoKey:
    case CallerVerdict::kUnknownKey:
      return this->Refuse(request, state::RelayOutcome::kUnauthorized,
                          state::Duration(0), handler);
    case CallerVerdict::kUncertain:
      return this->Refuse(request, state::RelayOutcome::kNotRun,
                          kUncertainRetryAfter, handler);
    case CallerVerdict::kAnonymous:
      return PassedNumber(
          this->next.Run(std::move(request), std::move(handler)));
    case CallerVerdict::kWorkspace:
      break;
  }
  return this->RunAs(decision.workspace, std::move(request),
                     std::move(handler));
}

std::uint64_t WorkspaceGuard::RunAs(const state::WorkspacePtr& workspace,
                                    state::RelayRequest request,
                                    RelayAnswerHandler handler) {
  request.workspace = workspace->id;
  request.priority = workspace->priority;
  const std::shared_ptr<Order> order = std::make_shared<Order>();
  order->number = GuardedNumber(this->next_number++);
  order->workspace = workspace;
  order->request = std::move(request);
  order->handler = std::move(handler);
  this->guarded.Insert(order->number, Guarded());
  if (!workspace->quota.IsLimited()) {
    this->RunAdmitted(order);
    return order->number;
  }
  this->quotas.Acquire(workspace, [this, order](const QuotaDecision& decision) {
    this->OnQuota(order, decision);
  });
  return order->number;
}

void WorkspaceGuard::OnQuota(const std::shared_ptr<Order>& order,
                             const QuotaDecision& decision) {
  if (!decision.is_admitted) {
    if (!this->guarded.Take(order->number)) return;  // cancelled
    this->Refuse(order->request, state::RelayOutcome::kOverQuota,
                 decision.retry_after, order->handler);
    return;
  }
  const bool is_open = this->guarded.ReadIfPresent(
      order->number, [](const Guarded& /*request*/) {});
  if (!is_open) {
    this->quotas.Refund(order->workspace->id);
    return;
  }
  order->admitted_at = this->clock.Now();
  this->RunAdmitted(order);
}

// Credit that is returned later would let more run within a window than the
// quota allows.
bool WorkspaceGuard::MayRefund(const Order& order,
                               const RelayAnswer& answer) const {
  return order.workspace->quota.IsLimited() && HasReachedNoServer(answer) &&
         this->clock.Now() - order.admitted_at <= kRefundTime;
}

void WorkspaceGuard::RunAdmitted(const std::shared_ptr<Order>& order) {
  const std::uint64_t inner = this->next.Run(
      std::move(order->request), [this, order](const RelayAnswer& answer) {
        if (!this->guarded.Take(order->number)) return;
        if (this->MayRefund(*order, answer)) {
          this->quotas.Refund(order->workspace->id);
        }
        order->handler(answer);
      });
  const bool is_open = this->guarded.UpdateIfPresent(
      order->number,
      [inner](Guarded& request) { request.next_number = inner; });
  // Answered already, or cancelled before its number was known.
  if (!is_open && inner != kNoRun) this->next.Cancel(inner);
}

void WorkspaceGuard::Cancel(std::uint64_t number) {
  if (!IsGuarded(number)) {
    this->next.Cancel(number / 2);
    return;
  }
  const std::optional<Guarded> request = this->guarded.Take(number);
  if (request && request->next_number != kNoRun) {
    this->next.Cancel(request->next_number);
  }
}

void WorkspaceGuard::FinishBy(const StopSchedule& schedule) {
  this->next.FinishBy(schedule);
}

}  // namespace banyanknot::coordination
