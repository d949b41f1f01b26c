#include "banyanknot/coordination/query/query_executor.h"

#include <algorithm>
#include <string>
#include <utility>

namespace banyanknot::coordination {
namespace {

constexpr state::Duration kNoCatalogueRetryAfter = state::Milliseconds(1'000);

bool IsShare(double value) { return value >= 0 && value <= 1; }

state::Duration AllowedTime(const state::Query& query,
                            const state::ServiceLimits& limits) {
  const state::Duration requested =
      query.deadline.count() == 0 ? limits.default_deadline : query.deadline;
  return std::min(requested, limits.max_deadline);
}

}  // namespace

QueryExecutor::QueryExecutor(std::uint64_t origin, const Clock& clock,
                             TimerService& timers, BackendClient& backend,
                             const state::CatalogueTable& catalogue,
                             const QueryPolicies& policies,
                             state::QueryCounters& counters)
    : origin(origin),
      clock(clock),
      timers(timers),
      backend(backend),
      catalogue(catalogue),
      policies(policies),
      counters(counters),
      maps(catalogue) {}

state::RequestId QueryExecutor::Run(const state::Query& query,
                                    AnswerHandler handler) {
  const state::RequestId id{this->origin, this->next_sequence.fetch_add(1)};
  const std::optional<Refusal> refusal =
      this->AdmitAndStart(id, query, handler);
  if (!refusal) return id;
  state::QueryCounts counts;
  ++counts.Of(refusal->outcome);
  this->counters.Add(counts);
  state::Answer answer;
  answer.request = id;
  answer.service = query.service;
  answer.outcome = refusal->outcome;
  answer.reason = refusal->reason;
  answer.retry_after = refusal->retry_after;
  const state::Result<ShardMap::Pointer, ShardMapError> map =
      this->maps.Find(query.service);
  if (state::IsOk(map)) {
    answer.missing = {state::ValueOf(map)->Service().key_space};
  }
  handler(std::move(answer));
  return id;
}

std::optional<QueryExecutor::Refusal> QueryExecutor::AdmitAndStart(
    const state::RequestId& id, const state::Query& query,
    AnswerHandler& handler) {
  if (!IsShare(query.min_coverage)) {
    return Refusal{state::Outcome::kInvalid,
                   "coverage_floor is not between 0 and 1"};
  }
  const state::Result<ShardMap::Pointer, ShardMapError> map =
      this->maps.Find(query.service);
  if (!state::IsOk(map)) {
    return this->MakeRefusal(state::ErrorOf(map));
  }
  const state::ServiceEntry& service = state::ValueOf(map)->Service();
  const state::Duration allowed = AllowedTime(query, service.limits);
  if (allowed.count() <= 0) {
    return Refusal{state::Outcome::kNotRun, "deadline already past"};
  }
  const AdmissionResult admission = this->policies.admission.Admit(service);
  if (!state::IsOk(admission)) {
    const AdmissionRefusal& refusal = state::ErrorOf(admission);
    return Refusal{state::Outcome::kNotRun, refusal.reason,
                   refusal.retry_after};
  }
  Entry entry;
  entry.run = std::make_shared<QueryRun>(
      id, query, state::ValueOf(map),
      MakeQueryTimes(this->clock.Now(), allowed), this->maps, this->policies);
  entry.handler = std::move(handler);
  entry.ticket = state::ValueOf(admission);
  this->Start(id, std::move(entry));
  return std::nullopt;
}

QueryExecutor::Refusal QueryExecutor::MakeRefusal(ShardMapError error) const {
  if (this->catalogue.MaxRevision() == 0) {
    return {state::Outcome::kNotRun, "no catalogue is in force yet",
            kNoCatalogueRetryAfter};
  }
  return {error == ShardMapError::kUnknownService ? state::Outcome::kInvalid
                                                  : state::Outcome::kNotRun,
          std::string(NameOf(error))};
}

void QueryExecutor::Start(const state::RequestId& id, Entry entry) {
  const state::TimePoint deadline = entry.run->Times().deadline;
  this->entries.Insert(id, std::move(entry));
  this->Post(id, {EventKind::kStart, 0, std::nullopt});
  this->PostAt(deadline, id, EventKind::kStop);
}

void QueryExecutor::Cancel(const state::RequestId& id) {
  this->Post(id, {EventKind::kStop, 0, std::nullopt});
}

std::size_t QueryExecutor::InFlight() const { return this->entries.Size(); }

void QueryExecutor::PostAt(state::TimePoint when, const state::RequestId& id,
                           EventKind kind) {
  this->timers.RunAt(when, [this, id, kind] {
    this->Post(id, {kind, 0, std::nullopt});
  });
}

void QueryExecutor::Post(const state::RequestId& id, Event event) {
  std::shared_ptr<QueryRun> run;
  const bool is_known =
      this->entries.UpdateIfPresent(id, [&run, &event](Entry& entry) {
        if (entry.is_processing) {
          entry.inbox.push_back(std::move(event));
          return;
        }
        entry.is_processing = true;
        run = entry.run;
      });
  if (!is_known && event.kind == EventKind::kResult) {
    state::QueryCounts counts;
    ++counts.Of(state::ReplyVerdict::kLate);
    this->counters.Add(counts);
  }
  if (run != nullptr) this->ProcessEvents(id, *run, std::move(event));
}

void QueryExecutor::ProcessEvents(const state::RequestId& id, QueryRun& run,
                                  Event first) {
  this->ApplyEffects(id, run, this->Handle(run, std::move(first)));
  this->RemoveIfComplete(id, run);
  for (std::vector<Event> events = this->TakeInbox(id); !events.empty();
       events = this->TakeInbox(id)) {
    for (Event& event : events) {
      this->ApplyEffects(id, run, this->Handle(run, std::move(event)));
    }
    this->RemoveIfComplete(id, run);
  }
}

std::vector<QueryExecutor::Event> QueryExecutor::TakeInbox(
    const state::RequestId& id) {
  std::vector<Event> events;
  this->entries.UpdateIfPresent(id, [&events](Entry& entry) {
    events.swap(entry.inbox);
    if (events.empty()) entry.is_processing = false;
  });
  return events;
}

QueryEffects QueryExecutor::Handle(QueryRun& run, Event event) {
  const state::TimePoint now = this->clock.Now();
  switch (event.kind) {
    case EventKind::kStart:
      return run.Start(now);
    case EventKind::kResult:
      return run.OnResult(event.attempt, std::move(*event.result), now);
    case EventKind::kTimer:
      return run.OnTimer(now);
    case EventKind::kStop:
      return run.Stop(now);
  }
  return {};
}

void QueryExecutor::RemoveIfComplete(const state::RequestId& id,
                                     const QueryRun& run) {
  if (!run.IsComplete()) return;
  if (this->entries.Take(id)) this->counters.Add(run.Counts());
}

void QueryExecutor::ApplyEffects(const state::RequestId& id,
                                 const QueryRun& run, QueryEffects effects) {
  for (const state::SubRequest& request : effects.send) this->Send(id, request);
  for (const state::SubRequest& request : effects.cancel) {
    this->backend.Cancel(request);
  }
  if (effects.next_timer_at) {
    this->PostAt(*effects.next_timer_at, id, EventKind::kTimer);
  }
  if (effects.answer) this->DeliverAnswer(id, run, std::move(*effects.answer));
}

void QueryExecutor::DeliverAnswer(const state::RequestId& id,
                                  const QueryRun& run, state::Answer answer) {
  AnswerHandler handler;
  AdmissionTicket ticket;
  this->entries.UpdateIfPresent(id, [&handler, &ticket](Entry& entry) {
    handler = std::move(entry.handler);
    entry.handler = nullptr;
    ticket = entry.ticket;
  });
  this->policies.admission.OnFinished(
      ticket, {answer.outcome, this->clock.Now() - run.Times().started,
               run.ShedReplies()});
  if (handler) handler(std::move(answer));
}

void QueryExecutor::Send(const state::RequestId& id,
                         const state::SubRequest& request) {
  const std::uint32_t attempt = request.attempt;
  this->backend.Send(request, [this, id, attempt](BackendResult result) {
    this->Post(id, {EventKind::kResult, attempt, std::move(result)});
  });
}

}  // namespace banyanknot::coordination
