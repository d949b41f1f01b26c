#include "banyanknot/coordination/query_executor.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace banyanknot::coordination {
namespace {

state::Answer Refuse(const state::RequestId& id, const state::Query& query,
                     state::Outcome outcome, const std::string& reason) {
  state::Answer answer;
  answer.request = id;
  answer.service = query.service;
  answer.outcome = outcome;
  answer.reason = reason;
  return answer;
}

}  // namespace

QueryExecutor::QueryExecutor(std::uint64_t origin, const Clock& clock,
                             TimerService& timers, BackendClient& backend,
                             const state::CatalogueTable& catalogue,
                             ReplicaSelector& selector, ServerGate& gate)
    : origin(origin),
      clock(clock),
      timers(timers),
      backend(backend),
      catalogue(catalogue),
      selector(selector),
      gate(gate) {}

state::RequestId QueryExecutor::Run(const state::Query& query,
                                    AnswerHandler handler) {
  const state::RequestId id{this->origin, this->next_sequence.fetch_add(1)};
  std::shared_ptr<const state::ServiceEntry> service =
      this->catalogue.FindService(query.service);
  if (service == nullptr) {
    handler(Refuse(id, query, state::Outcome::kInvalid, "unknown service"));
    return id;
  }
  const state::Duration allowed =
      query.deadline.count() > 0
          ? std::min(query.deadline, service->limits.max_deadline)
          : service->limits.default_deadline;
  const state::TimePoint deadline = this->clock.Now() + allowed;
  Entry entry;
  entry.run = std::make_shared<QueryRun>(id, query, std::move(service),
                                         deadline, this->selector, this->gate);
  entry.handler = std::move(handler);
  this->entries.Insert(id, std::move(entry));
  this->Post(id, [](QueryRun& run) { return run.Start(); });
  this->timers.RunAt(deadline, [this, id] {
    this->Post(id, [](QueryRun& run) { return run.OnDeadline(); });
  });
  return id;
}

void QueryExecutor::Cancel(const state::RequestId& id) {
  this->Post(id, [](QueryRun& run) { return run.OnDeadline(); });
}

std::size_t QueryExecutor::InFlight() const { return this->entries.Size(); }

void QueryExecutor::Post(const state::RequestId& id, Event event) {
  std::shared_ptr<QueryRun> run;
  this->entries.UpdateIfPresent(id, [&run, &event](Entry& entry) {
    entry.inbox.push_back(std::move(event));
    if (entry.is_draining) return;
    entry.is_draining = true;
    run = entry.run;
  });
  if (run != nullptr) this->Drain(id, *run);
}

void QueryExecutor::Drain(const state::RequestId& id, QueryRun& run) {
  for (std::vector<Event> events = this->TakeInbox(id); !events.empty();
       events = this->TakeInbox(id)) {
    for (const Event& event : events) this->Perform(id, event(run));
    this->RemoveIfSettled(id, run);
  }
}

std::vector<QueryExecutor::Event> QueryExecutor::TakeInbox(
    const state::RequestId& id) {
  std::vector<Event> events;
  this->entries.UpdateIfPresent(id, [&events](Entry& entry) {
    events.swap(entry.inbox);
    if (events.empty()) entry.is_draining = false;
  });
  return events;
}

void QueryExecutor::RemoveIfSettled(const state::RequestId& id,
                                    const QueryRun& run) {
  if (run.IsSettled()) this->entries.Take(id);
}

void QueryExecutor::Perform(const state::RequestId& id, QueryEffects effects) {
  for (const state::SubRequest& request : effects.send) this->Send(id, request);
  for (const state::SubRequest& request : effects.cancel) {
    this->backend.Cancel(request);
  }
  if (!effects.answer) return;
  AnswerHandler handler;
  this->entries.UpdateIfPresent(id, [&handler](Entry& entry) {
    handler = std::move(entry.handler);
    entry.handler = nullptr;
  });
  if (handler) handler(std::move(*effects.answer));
}

void QueryExecutor::Send(const state::RequestId& id,
                         const state::SubRequest& request) {
  const std::uint32_t attempt = request.attempt;
  this->backend.Send(request, [this, id, attempt](BackendResult result) {
    this->Post(id, [attempt, result = std::move(result)](QueryRun& run) {
      return run.OnResult(attempt, result);
    });
  });
}

}  // namespace banyanknot::coordination
