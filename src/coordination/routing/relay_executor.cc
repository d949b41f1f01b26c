#include "banyanknot/coordination/routing/relay_executor.h"

#include <algorithm>
#include <utility>

namespace banyanknot::coordination {
namespace {

/// Retry-after time of a host that has no routes yet.
constexpr state::Duration kNotConfiguredRetryAfter = state::Milliseconds(200);
/// A part is a list of short records, of which only the greatest are used.
constexpr std::size_t kMaxPartBytes = 256u << 10;
constexpr std::size_t kMaxRelayedReplyBytes = 16u << 20;

}  // namespace

RelayExecutor::RelayExecutor(const Clock& clock, TimerService& timers,
                             RelayClient& client, const RouteDirectory& routes,
                             RelayPolicies policies, CapacityQueue& queue,
                             ServerHealthChecker& checker,
                             RelayJournal& journal)
    : clock(clock),
      timers(timers),
      client(client),
      routes(routes),
      policies(policies),
      queue(queue),
      checker(checker),
      journal(journal) {}

std::uint64_t RelayExecutor::Refuse(const state::RelayRequest& request,
                                    state::RelayOutcome outcome,
                                    state::Duration retry_after,
                                    const state::RouteTablePtr& table,
                                    const RelayAnswerHandler& handler) {
  RelayAnswer answer;
  answer.outcome = outcome;
  answer.retry_after = retry_after;
  this->journal.RecordRefusal(request, outcome, table, this->clock.Now());
  handler(answer);
  return kNoRun;
}

std::uint64_t RelayExecutor::Run(state::RelayRequest request,
                                 RelayAnswerHandler handler) {
  const state::RouteTablePtr table = this->routes.Current();
  if (table == nullptr) {
    return this->Refuse(request, state::RelayOutcome::kNotConfigured,
                        kNotConfiguredRetryAfter, table, handler);
  }
  if (request.id.empty()) {
    return this->Refuse(request, state::RelayOutcome::kInvalid,
                        state::Duration(0), table, handler);
  }
  const std::string path = request.target.substr(0, request.target.find('?'));
  const state::Route* route = table->Match(request.host, path);
  if (route == nullptr) {
    return this->Refuse(request, state::RelayOutcome::kNoRoute,
                        state::Duration(0), table, handler);
  }
  if (request.deadline.count() <= 0) request.deadline = route->timeout;
  std::vector<state::ServiceId> services = route->shards;
  if (services.empty()) services.push_back(this->splits.Choose(*route));
  if (this->stop_admission.HasBegun()) {
    if (!this->IsAdmittedWhileStopping(request, *route, services)) {
      return this->Refuse(request, state::RelayOutcome::kNotRun,
                          this->stop_admission.RetryAfter(this->clock.Now()),
                          table, handler);
    }
    this->stop_admission.LimitDeadline(request);
  }
  const std::uint64_t number = this->next_number++;
  Entry entry;
  entry.run = std::make_shared<RelayRun>(
      this->policies,
      std::make_shared<const state::RelayRequest>(std::move(request)), table,
      *route, std::move(services));
  entry.handler = std::move(handler);
  ++this->unanswered;
  this->entries.Insert(number, std::move(entry));
  this->Post(number,
             [this](RelayRun& run) { return run.Start(this->clock.Now()); });
  return number;
}

bool RelayExecutor::IsAdmittedWhileStopping(
    const state::RelayRequest& request, const state::Route& route,
    const std::vector<state::ServiceId>& services) {
  const state::TimePoint now = this->clock.Now();
  state::Duration slowest{0};
  for (const state::ServiceId& service : services) {
    slowest =
        std::max(slowest, this->policies.picker.TypicalReplyTime(service, now));
  }
  return this->stop_admission.Admits(request, route, slowest, now);
}

void RelayExecutor::FinishBy(const StopSchedule& schedule) {
  this->stop_admission.Begin(schedule);
  this->timers.RunAt(schedule.answered_by, [this] { this->EndAll(); });
}

void RelayExecutor::EndAll() {
  std::vector<std::uint64_t> numbers;
  this->entries.ForEach([&numbers](std::uint64_t number, const Entry& /*run*/) {
    numbers.push_back(number);
  });
  for (const std::uint64_t number : numbers) {
    this->Post(number, [this](RelayRun& run) {
      return run.OnHostStopping(this->clock.Now());
    });
  }
}

void RelayExecutor::Cancel(std::uint64_t number) {
  this->Post(number, [this](RelayRun& run) {
    return run.OnCallerGone(this->clock.Now());
  });
}

void RelayExecutor::Post(std::uint64_t number, Event event) {
  std::shared_ptr<RelayRun> run;
  this->entries.UpdateIfPresent(number, [&](Entry& entry) {
    if (entry.is_busy) {
      entry.pending_events.push_back(std::move(event));
    } else {
      entry.is_busy = true;
      run = entry.run;
    }
  });
  if (run != nullptr) this->HandleEvents(number, run, std::move(event));
}

void RelayExecutor::HandleEvents(std::uint64_t number,
                                 const std::shared_ptr<RelayRun>& run,
                                 Event event) {
  std::vector<Event> events;
  events.push_back(std::move(event));
  while (!events.empty()) {
    for (const Event& next : events) {
      this->ApplyEffects(number, run, next(*run));
    }
    events.clear();
    const bool is_settled = run->IsSettled();
    bool is_done = false;
    this->entries.UpdateIfPresent(number, [&](Entry& entry) {
      events.swap(entry.pending_events);
      if (!events.empty()) return;
      entry.is_busy = is_settled;  // stays set: later events are dropped
      is_done = is_settled;
    });
    if (is_done) this->entries.Take(number);
  }
}

void RelayExecutor::ApplyEffects(std::uint64_t number,
                                 const std::shared_ptr<RelayRun>& run,
                                 RelayEffects effects) {
  if (effects.answer) this->Answer(number, *run, *effects.answer);
  for (const SendCommand& order : effects.sends) {
    this->Send(number, *run, order);
  }
  for (const std::uint32_t attempt : effects.cancellations) {
    this->CancelAttempt(number, attempt);
  }
  for (const TrackedServerPtr& server : effects.suspects) {
    this->checker.Check(server);
  }
  for (const CapacityWait& wait : effects.capacity_waits) {
    this->Enqueue(number, *run, wait);
  }
  if (effects.next_timer_at) {
    this->timers.RunAt(*effects.next_timer_at, [this, number] {
      this->Post(number, [this](RelayRun& timed_run) {
        return timed_run.OnTimer(this->clock.Now());
      });
    });
  }
  for (const state::ServiceId& service : effects.freed_services) {
    this->DispatchNext(service);
  }
}

void RelayExecutor::Enqueue(std::uint64_t number, const RelayRun& run,
                            const CapacityWait& wait) {
  const QueuedRequest queued{number, run.Priority(), run.Deadline()};
  const state::ServiceId& service = wait.service;
  if (!this->queue.Enqueue(service, queued, this->clock.Now())) {
    this->Post(number, [this, service](RelayRun& full_run) {
      return full_run.OnQueueFull(service, this->clock.Now());
    });
  } else if (wait.retry_at) {
    this->timers.RunAt(*wait.retry_at,
                       [this, service] { this->DispatchNext(service); });
  }
}

void RelayExecutor::Send(std::uint64_t number, const RelayRun& run,
                         const SendCommand& order) {
  RelaySend send;
  send.server = order.server->Record().id;
  send.endpoint = order.server->Record().endpoint;
  send.request = run.RequestPtr();
  send.deadline = order.deadline;
  send.is_idempotent = run.Route().is_idempotent;
  send.max_reply_bytes =
      run.Route().IsGather() ? kMaxPartBytes : kMaxRelayedReplyBytes;
  send.notices = order.server;
  const std::uint32_t attempt = order.attempt;
  std::shared_ptr<RelayCall> call = this->client.Send(
      std::move(send), [this, number, attempt](RelayResult result) {
        // Shared, since events are copyable but replies must not be copied.
        const std::shared_ptr<const RelayResult> shared =
            std::make_shared<const RelayResult>(std::move(result));
        this->Post(number, [this, attempt, shared](RelayRun& answered_run) {
          return answered_run.OnResult(attempt, *shared, this->clock.Now());
        });
      });
  this->entries.UpdateIfPresent(number, [&](Entry& entry) {
    entry.calls.emplace(attempt, std::move(call));
  });
}

void RelayExecutor::CancelAttempt(std::uint64_t number, std::uint32_t attempt) {
  std::shared_ptr<RelayCall> call;
  this->entries.UpdateIfPresent(number, [&](Entry& entry) {
    const auto found = entry.calls.find(attempt);
    if (found != entry.calls.end()) call = found->second;
  });
  if (call != nullptr) call->Cancel();
}

void RelayExecutor::Answer(std::uint64_t number, const RelayRun& run,
                           const RelayAnswer& answer) {
  --this->unanswered;
  RelayAnswerHandler handler;
  this->entries.UpdateIfPresent(
      number, [&handler](Entry& entry) { handler.swap(entry.handler); });
  this->journal.RecordAnswer(run, answer, this->clock.Now());
  if (answer.outcome != state::RelayOutcome::kAbandoned) handler(answer);
}

void RelayExecutor::DispatchNext(const state::ServiceId& service) {
  const std::optional<QueuedRequest> queued =
      this->queue.Dequeue(service, this->clock.Now());
  if (!queued) return;
  bool exists = false;
  this->entries.ReadIfPresent(
      queued->run, [&exists](const Entry& /*entry*/) { exists = true; });
  if (!exists) {
    this->DispatchNext(service);
    return;
  }
  this->Post(queued->run, [this, service](RelayRun& run) {
    return run.OnCapacity(service, this->clock.Now());
  });
}

}  // namespace banyanknot::coordination
