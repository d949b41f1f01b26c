#include "banyanknot/coordination/actions/action_executor.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace banyanknot::coordination {
namespace {

constexpr state::Duration kSweepInterval = state::Milliseconds(1'000);
constexpr state::Duration kRetryAfter = state::Milliseconds(1'000);

state::ActionReply Reply(state::Outcome outcome, std::string reason,
                         state::Duration retry_after = state::Duration(0)) {
  return {outcome, std::move(reason), {}, retry_after};
}

const state::ShardEntry* FindShard(const state::ServiceEntry& service,
                                   std::uint64_t key) {
  const auto found = std::find_if(service.shards.begin(), service.shards.end(),
                                  [key](const state::ShardEntry& shard) {
                                    return shard.range.Contains(key);
                                  });
  return found == service.shards.end() ? nullptr : &*found;
}

std::string Describe(const BackendResult& result) {
  return std::string(state::IsOk(result) ? NameOf(state::ValueOf(result).status)
                                         : NameOf(state::ErrorOf(result)));
}

}  // namespace

/// State of one running action; attempts are strictly sequential.
struct ActionExecutor::ActionRun {
  state::Action action;
  state::TimePoint deadline;
  std::shared_ptr<const state::ServiceEntry> service;
  const state::ShardEntry* shard = nullptr;
  std::vector<const state::ServerEntry*> candidates;
  std::size_t next_candidate = 0;
  std::uint32_t attempts = 0;
  std::string last_refusal = "no replica may take it now";
};

struct ActionExecutor::Attempt {
  state::SubRequest request;
  ServerPermit permit;
  std::atomic<bool> is_finished{false};
};

ActionExecutor::ActionExecutor(const Clock& clock, TimerService& timers,
                               BackendClient& backend,
                               const state::CatalogueTable& catalogue,
                               ReplicaSelector& selector, ServerGate& gate,
                               const ActionPolicy& policy, TicketTable& tickets)
    : clock(clock),
      timers(timers),
      backend(backend),
      catalogue(catalogue),
      selector(selector),
      gate(gate),
      policy(policy),
      tickets(tickets) {}

void ActionExecutor::Start() { this->ScheduleSweep(); }

void ActionExecutor::ScheduleSweep() {
  this->timers.RunAt(this->clock.Now() + kSweepInterval, [this] {
    this->tickets.RemoveExpired();
    this->ScheduleSweep();
  });
}

TicketResult ActionExecutor::IssueTicket(const state::ServiceId& service,
                                         std::uint64_t key) {
  const std::shared_ptr<const state::ServiceEntry> entry =
      this->catalogue.FindService(service);
  if (entry == nullptr) {
    return Reply(state::Outcome::kInvalid, "unknown service");
  }
  if (FindShard(*entry, key) == nullptr) {
    return Reply(state::Outcome::kInvalid, "no shard holds the key");
  }
  const state::Result<state::Ticket, state::StateError> ticket =
      this->tickets.Issue(service, key);
  if (state::IsOk(ticket)) return state::ValueOf(ticket);
  return Reply(state::Outcome::kNotRun, "too many tickets are remembered",
               kRetryAfter);
}

void ActionExecutor::Run(const state::Action& action, const WaiterId& waiter,
                         const ActionHandler& handler) {
  const std::shared_ptr<const state::ServiceEntry> service =
      this->catalogue.FindService(action.service);
  const state::ServiceLimits limits =
      service == nullptr ? state::ServiceLimits() : service->limits;
  const state::Duration timeout =
      action.deadline.count() == 0
          ? limits.default_deadline
          : std::min(action.deadline, limits.max_deadline);
  const state::TimePoint deadline = this->clock.Now() + timeout;
  const TicketClaim claim = this->tickets.Claim(action, waiter, handler);
  if (claim.kind == ClaimKind::kAnswered) {
    handler(claim.reply);
    return;
  }
  this->AnswerAtDeadline(action.ticket.id, waiter, deadline);
  if (claim.kind == ClaimKind::kStarted) this->StartRun(action, deadline);
}

void ActionExecutor::AnswerAtDeadline(const state::RequestId& id,
                                      const WaiterId& waiter,
                                      state::TimePoint deadline) {
  this->timers.RunAt(deadline + kActionReplyMargin, [this, id, waiter] {
    const ActionHandler handler = this->tickets.RemoveWaiter(id, waiter);
    if (handler) {
      handler(Reply(state::Outcome::kUnknown, "it had not ended in time"));
    }
  });
}

void ActionExecutor::StartRun(const state::Action& action,
                              state::TimePoint deadline) {
  ++this->in_flight;
  const std::shared_ptr<ActionRun> run = std::make_shared<ActionRun>();
  run->action = action;
  run->deadline = deadline;
  run->service = this->catalogue.FindService(action.service);
  if (run->service != nullptr) {
    run->shard = FindShard(*run->service, action.key);
  }
  if (run->shard == nullptr) {
    this->Complete(*run, Reply(state::Outcome::kNotRun,
                               "no shard holds the key any more"));
    return;
  }
  for (const state::ServerId& replica : run->shard->replicas) {
    const state::ServerEntry* server = run->service->FindServer(replica);
    if (server != nullptr) run->candidates.push_back(server);
  }
  this->selector.Rank(run->candidates);
  this->TryNextReplica(run);
}

void ActionExecutor::TryNextReplica(const std::shared_ptr<ActionRun>& run) {
  while (run->next_candidate < run->candidates.size()) {
    if (this->clock.Now() >= run->deadline) {
      run->last_refusal = "its deadline passed before it was sent";
      break;
    }
    if (this->TrySend(run, *run->candidates[run->next_candidate++])) return;
  }
  this->Complete(
      *run, Reply(state::Outcome::kNotRun, run->last_refusal, kRetryAfter));
}

bool ActionExecutor::TrySend(const std::shared_ptr<ActionRun>& run,
                             const state::ServerEntry& server) {
  const PermitResult permit = this->gate.Acquire(
      server, run->attempts == 0 ? WorkKind::kFirst : WorkKind::kRetry);
  if (!state::IsOk(permit)) {
    run->last_refusal = std::string(NameOf(state::ErrorOf(permit)));
    return false;
  }
  const std::shared_ptr<Attempt> attempt = std::make_shared<Attempt>();
  attempt->permit = state::ValueOf(permit);
  state::SubRequest& request = attempt->request;
  request.request = run->action.ticket.id;
  request.attempt = ++run->attempts;
  request.service = run->service->id;
  request.shard = run->shard->id;
  request.range = {run->action.key, run->action.key + 1};
  request.server = server.id;
  request.endpoint = server.endpoint;
  request.ask = run->action.ask;
  request.is_idempotent = false;
  request.deadline = run->deadline;
  request.send_before = std::min(attempt->permit.valid_until, run->deadline);
  this->backend.Send(request,
                     [this, run, attempt](const BackendResult& result) {
                       if (attempt->is_finished.exchange(true)) return;
                       this->OnResult(run, *attempt, result);
                     });
  return true;
}

void ActionExecutor::OnResult(const std::shared_ptr<ActionRun>& run,
                              Attempt& attempt, const BackendResult& result) {
  this->gate.Release(attempt.permit, result);
  switch (this->policy.Classify(attempt.request, result)) {
    case ActionVerdict::kRan: {
      state::ActionReply reply = Reply(state::Outcome::kOk, "");
      reply.records = state::ValueOf(result).records;
      this->Complete(*run, reply);
      break;
    }
    case ActionVerdict::kFailed:
      this->Complete(*run, Reply(state::Outcome::kFailed,
                                 "the backend server rejected it"));
      break;
    case ActionVerdict::kRefused:
      run->last_refusal = Describe(result);
      this->TryNextReplica(run);
      break;
    case ActionVerdict::kUnknown:
      this->Complete(*run, Reply(state::Outcome::kUnknown, Describe(result)));
      break;
  }
}

void ActionExecutor::Complete(const ActionRun& run,
                              const state::ActionReply& reply) {
  const std::vector<ActionHandler> handlers =
      this->tickets.Complete(run.action.ticket.id, reply);
  --this->in_flight;
  for (const ActionHandler& handler : handlers) handler(reply);
}

}  // namespace banyanknot::coordination
