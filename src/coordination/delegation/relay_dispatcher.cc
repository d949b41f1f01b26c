#include "banyanknot/coordination/delegation/relay_dispatcher.h"

#include <string>
#include <utility>

#include "banyanknot/coordination/routing/relay_deadlines.h"

namespace banyanknot::coordination {
namespace {

/// What the second host adds to the way back: one read and one write on the
/// slower host, and the network between them.
constexpr state::Duration kHopTime = state::Milliseconds(3);
/// The gatherer answers by the soft deadline if it can at all; without a word
/// this long after it, the gatherer may be frozen or cut off.
constexpr state::Duration kSilenceAfterDeadline = state::Milliseconds(30);
/// Beyond the gatherer's own deadline, so that its answer comes first.
constexpr state::Duration kAnswerSlack = state::Milliseconds(20);

/// All failures are counted; those beyond this are not logged.
constexpr unsigned kMaxLogLinesPerSecond = 10;

// Run numbers of the local runner and of delegations share one space.
std::uint64_t LocalNumber(std::uint64_t number) { return number * 2; }
std::uint64_t DelegatedNumber(std::uint64_t number) { return number * 2 + 1; }
bool IsDelegated(std::uint64_t number) { return number % 2 == 1; }

}  // namespace

/// A request to be run by another host.
struct RelayDispatcher::Order {
  std::uint64_t number = 0;
  std::shared_ptr<const state::RelayRequest> request;
  RelayAnswerHandler handler;
  state::HostAdvert gatherer;
  RelayDeadlines deadlines;
  std::uint64_t routes_version = 0;
  state::TimePoint sent_at;
};

RelayDispatcher::RelayDispatcher(const Clock& clock, TimerService& timers,
                                 HostLink& link, GathererRoster& roster,
                                 const RouteDirectory& routes,
                                 RelayRunner& local, EventLog& log)
    : clock(clock),
      timers(timers),
      link(link),
      roster(roster),
      routes(routes),
      local(local),
      log(log) {}

const state::Route* RelayDispatcher::FindGatherRoute(
    const state::RouteTable& table, const state::RelayRequest& request) const {
  if (request.id.empty()) return nullptr;
  const std::string path = request.target.substr(0, request.target.find('?'));
  const state::Route* route = table.Match(request.host, path);
  return route != nullptr && route->IsGather() ? route : nullptr;
}

std::uint64_t RelayDispatcher::Run(state::RelayRequest request,
                                   RelayAnswerHandler handler) {
  const state::TimePoint now = this->clock.Now();
  const std::optional<state::HostAdvert> gatherer =
      this->roster.PickGatherer(now);
  const state::RouteTablePtr table = this->routes.Current();
  const state::Route* route = gatherer && table != nullptr
                                  ? this->FindGatherRoute(*table, request)
                                  : nullptr;
  if (route == nullptr) {
    return LocalNumber(this->local.Run(std::move(request), std::move(handler)));
  }
  if (request.deadline.count() <= 0) request.deadline = route->timeout;
  this->stop_admission.LimitDeadline(request);
  if (this->stop_admission.HasBegun() &&
      request.received_at + request.deadline < now + route->objective) {
    // Too late for another host; the one that answers callers decides.
    return LocalNumber(this->local.Run(std::move(request), std::move(handler)));
  }
  const std::shared_ptr<Order> order = std::make_shared<Order>();
  request.outside_time =
      request.outside_time.value_or(RelayDeadlines::kDefaultOutsideTime) +
      kHopTime;
  order->deadlines = RelayDeadlines::Of(request, *route, state::Duration(0));
  order->request =
      std::make_shared<const state::RelayRequest>(std::move(request));
  order->handler = std::move(handler);
  order->gatherer = *gatherer;
  order->routes_version = table->Version();
  order->sent_at = now;
  return this->Delegate(order);
}

std::uint64_t RelayDispatcher::Delegate(const std::shared_ptr<Order>& order) {
  order->number = DelegatedNumber(this->next_number++);
  Delegation opened;
  opened.order = order;
  this->delegations.Insert(order->number, std::move(opened));
  std::shared_ptr<RelayCall> call =
      this->link.Delegate(order->gatherer.endpoint,
                          {order->request, order->routes_version,
                           order->deadlines.hard + kAnswerSlack},
                          [this, order](DelegationResult result) {
                            this->OnResult(order, std::move(result));
                          });
  this->delegations.UpdateIfPresent(
      order->number,
      [&call](Delegation& delegation) { delegation.call = std::move(call); });
  this->timers.RunAt(order->deadlines.soft + kSilenceAfterDeadline,
                     [this, order] { this->SuspectIfSilent(order); });
  return order->number;
}

void RelayDispatcher::SuspectIfSilent(const std::shared_ptr<Order>& order) {
  const bool is_open = this->delegations.ReadIfPresent(
      order->number, [](const Delegation& /*delegation*/) {});
  if (is_open) {
    this->roster.Suspect(order->gatherer.id, this->clock.Now());
  }
}

void RelayDispatcher::OnResult(const std::shared_ptr<Order>& order,
                               DelegationResult result) {
  if (state::IsOk(result)) {
    this->roster.Clear(order->gatherer.id, order->sent_at);
    if (!this->delegations.Take(order->number)) return;
    ++this->answered;
    RelayAnswer answer;
    answer.outcome = state::RelayOutcome::kAnswered;
    answer.reply = state::TakeValue(std::move(result));
    order->handler(answer);
    return;
  }
  const DelegationFailure failure = state::ErrorOf(result);
  const bool may_have_started = failure == DelegationFailure::kLost ||
                                failure == DelegationFailure::kTimeout;
  bool is_cancelled = true;
  this->delegations.ReadIfPresent(
      order->number, [&is_cancelled](const Delegation& /*delegation*/) {
        is_cancelled = false;
      });
  if (is_cancelled) return;
  if (failure != DelegationFailure::kDeclined) {
    this->roster.Suspect(order->gatherer.id, this->clock.Now());
  }
  this->LogFailure(*order, failure);
  if (!may_have_started) {
    this->RunHere(order);
    return;
  }
  if (!this->delegations.Take(order->number)) return;
  ++this->lost;
  RelayAnswer answer;
  answer.outcome = failure == DelegationFailure::kTimeout
                       ? state::RelayOutcome::kTimedOut
                       : state::RelayOutcome::kFailed;
  answer.reason = state::RelayReason::kServersGone;
  order->handler(answer);
}

void RelayDispatcher::RunHere(const std::shared_ptr<Order>& order) {
  ++this->returned;
  state::RelayRequest request = *order->request;
  request.outside_time = *request.outside_time - kHopTime;
  const std::uint64_t number = this->local.Run(
      std::move(request), [this, order](const RelayAnswer& answer) {
        if (this->delegations.Take(order->number)) order->handler(answer);
      });
  const bool is_open = this->delegations.UpdateIfPresent(
      order->number,
      [number](Delegation& delegation) { delegation.local_number = number; });
  // Answered already, or cancelled before its number was known.
  if (!is_open && number != kNoRun) this->local.Cancel(number);
}

void RelayDispatcher::Cancel(std::uint64_t number) {
  if (!IsDelegated(number)) {
    this->local.Cancel(number / 2);
    return;
  }
  const std::optional<Delegation> delegation = this->delegations.Take(number);
  if (!delegation) return;
  if (delegation->local_number != kNoRun) {
    this->local.Cancel(delegation->local_number);
  } else if (delegation->call != nullptr) {
    delegation->call->Cancel();
  }
}

void RelayDispatcher::FinishBy(const StopSchedule& schedule) {
  this->stop_admission.Begin(schedule);
  this->timers.RunAt(schedule.answered_by, [this] { this->EndDelegations(); });
  this->local.FinishBy(schedule);
}

void RelayDispatcher::EndDelegations() {
  std::vector<std::uint64_t> numbers;
  this->delegations.ForEach(
      [&numbers](std::uint64_t number, const Delegation& delegation) {
        if (delegation.local_number == kNoRun) numbers.push_back(number);
      });
  for (const std::uint64_t number : numbers) {
    const std::optional<Delegation> ended = this->delegations.Take(number);
    if (!ended) continue;
    ++this->lost;
    if (ended->call != nullptr) ended->call->Cancel();
    RelayAnswer answer;
    answer.outcome = state::RelayOutcome::kTimedOut;
    answer.reason = state::RelayReason::kHostStopping;
    ended->order->handler(answer);
  }
}

void RelayDispatcher::LogFailure(const Order& order,
                                 DelegationFailure failure) {
  constexpr std::int64_t kMillisecondsPerSecond = 1'000;
  const std::int64_t second =
      state::ToMilliseconds(this->clock.Now().time_since_epoch()) /
      kMillisecondsPerSecond;
  if (this->last_log_second.exchange(second) != second) {
    this->logged_in_second = 0;
  }
  if (++this->logged_in_second > kMaxLogLinesPerSecond) return;
  this->log.Write(EventCode::kDelegationFailed,
                  {{"request", order.request->id},
                   {"host", order.gatherer.id.Text()},
                   {"failure", std::string(NameOf(failure))},
                   {"version", std::to_string(order.routes_version)},
                   {"ms", std::to_string(state::ToMilliseconds(
                              this->clock.Now() - order.sent_at))}});
}

void RelayDispatcher::CollectMetrics(std::vector<MetricSample>& samples) const {
  const auto add = [&samples](const char* name, const char* help,
                              double value) {
    samples.push_back({name, help, MetricKind::kCounter, {}, value});
  };
  add("banyanknot_relay_delegated_requests_total",
      "Gathers that another host answered.",
      static_cast<double>(this->answered));
  add("banyanknot_relay_returned_requests_total",
      "Gathers run here after another host did not start them.",
      static_cast<double>(this->returned));
  add("banyanknot_relay_lost_delegations_total",
      "Gathers of which another host gave no answer.",
      static_cast<double>(this->lost));
}

}  // namespace banyanknot::coordination
