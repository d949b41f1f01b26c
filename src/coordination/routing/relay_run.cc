#include "banyanknot/coordination/routing/relay_run.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace banyanknot::coordination {
namespace {

/// A part fails after this many connection attempts that failed.
constexpr std::size_t kMaxConnectionFailures = 3;
constexpr state::TimePoint kNever = state::TimePoint::max();
constexpr unsigned kFirstServerError = 500;
/// Delay before retrying a hedge that found no capacity or budget; about one
/// service time.
constexpr state::Duration kHedgeRetryDelay = state::Milliseconds(15);
/// Interval at which a gather past its soft deadline checks whether it can
/// still succeed. Twice the minimum health check delay, since reachability
/// changes only with health checks.
constexpr state::Duration kReachabilityCheckInterval = state::Milliseconds(40);
/// Absorbs rounding errors of a minimum coverage given as a decimal fraction.
constexpr double kShareEpsilon = 1e-9;

std::size_t MinParts(const state::Route& route) {
  if (!route.IsGather()) return 1;
  const double min_parts =
      std::ceil(route.min_coverage * static_cast<double>(route.shards.size()) -
                kShareEpsilon);
  return std::max<std::size_t>(1, static_cast<std::size_t>(min_parts));
}

RelayCounts InitialCounts(const state::Route& route, std::size_t parts) {
  RelayCounts counts;
  counts.parts = parts;
  counts.min_parts = MinParts(route);
  return counts;
}

}  // namespace

RelayRun::RelayRun(RelayPolicies policies,
                   std::shared_ptr<const state::RelayRequest> request,
                   state::RouteTablePtr table, const state::Route& route,
                   std::vector<state::ServiceId> services)
    : policies(policies),
      request(std::move(request)),
      table(std::move(table)),
      route(route),
      deadlines(RelayDeadlines::Of(*this->request, route,
                                   policies.answer_delay.AnswerDelay())),
      parts(std::move(services)),
      counts(InitialCounts(route, this->parts.All().size())),
      admission(policies, this->Priority(), deadlines.hard),
      merger(route.top_k) {}

RelayEffects RelayRun::Start(state::TimePoint now) {
  RelayEffects effects;
  for (const RelayPart& part : this->parts.All()) {
    this->policies.budget.RecordRequest(part.service, now);
  }
  const RelayAdmissionResult admitted =
      this->admission.CheckRequest(this->parts, this->counts.min_parts, now);
  if (admitted != RelayAdmissionResult::kAdmitted) {
    this->Fail(state::RelayOutcome::kNotRun,
               admitted == RelayAdmissionResult::kNoServer
                   ? state::RelayReason::kNoUsableServer
                   : state::RelayReason::kNoCapacityInTime,
               now, effects);
    return effects;
  }
  for (RelayPart& part : this->parts.All()) {
    this->LaunchOrQueue(part, now, effects);
  }
  this->Evaluate(now, effects);
  this->ScheduleTimer(now, effects);
  return effects;
}

bool RelayRun::MayAttempt(const RelayPart& part) const {
  return !this->is_answered && !part.has_reply &&
         part.counted_attempts < this->route.max_attempts &&
         part.unsent < kMaxConnectionFailures;
}

bool RelayRun::TryConsumeBudget(const RelayPart& part, state::TimePoint now) {
  if (part.counted_attempts == 0) return true;
  if (!this->policies.budget.TryAcquire(part.service, now)) return false;
  ++this->counts.extra;
  return true;
}

bool RelayRun::TryLaunch(RelayPart& part, state::TimePoint now,
                         RelayEffects& effects) {
  if (!this->MayAttempt(part) || now >= this->deadlines.hard) return false;
  const TrackedServerPtr server =
      this->policies.picker.Pick(part.service, part.tried, now);
  if (server == nullptr) return false;
  if (!this->TryConsumeBudget(part, now)) {
    server->Release(AttemptOutcome::kCancelled, now, now, std::nullopt);
    return false;
  }
  const std::uint32_t number = this->parts.Open(part, server, now);
  ++this->counts.sent;
  const bool is_first = part.counted_attempts == 1;
  part.hedge_at =
      is_first && this->route.is_idempotent && this->route.max_attempts > 1
          ? now + this->policies.hedges.HedgeDelay(this->route)
          : kNever;
  effects.sends.push_back({number, server, this->deadlines.hard});
  return true;
}

void RelayRun::LaunchOrQueue(RelayPart& part, state::TimePoint now,
                             RelayEffects& effects) {
  const bool was_queued = std::exchange(part.is_queued, false);
  if (was_queued && this->admission.WouldMissDeadline(part, now)) {
    this->admission.RecordCapacityShortage(part);
    return;
  }
  if (this->TryLaunch(part, now, effects)) return;
  if (!this->MayAttempt(part) || part.counted_attempts > 0) return;
  switch (this->admission.CheckPart(part, now)) {
    case RelayAdmissionResult::kAdmitted:
      part.is_queued = true;
      effects.capacity_waits.push_back(
          {part.service, this->admission.BackOffEnd(part, now)});
      break;
    case RelayAdmissionResult::kNoCapacityInTime:
      this->admission.RecordCapacityShortage(part);
      break;
    case RelayAdmissionResult::kNoServer:
      break;
  }
}

AttemptOutcome RelayRun::Classify(const RelayResult& result) const {
  if (!state::IsOk(result)) {
    switch (state::ErrorOf(result)) {
      case RelayFailure::kNotSent:
        return AttemptOutcome::kNotSent;
      case RelayFailure::kLimit:
      case RelayFailure::kWithdrawn:
        return AttemptOutcome::kCancelled;
      case RelayFailure::kTimeout:
        return AttemptOutcome::kTimedOut;
      default:
        return AttemptOutcome::kBroken;
    }
  }
  const RelayReply& answer = state::ValueOf(result);
  if (answer.IsSuccess()) return AttemptOutcome::kReplied;
  if (answer.is_proven_not_run) return AttemptOutcome::kRefused;
  return AttemptOutcome::kErred;
}

RelayEffects RelayRun::OnResult(std::uint32_t number, const RelayResult& result,
                                state::TimePoint now) {
  RelayEffects effects;
  const std::optional<state::TimePoint> sent_at = this->parts.Close(number);
  if (!sent_at) return effects;
  RelayPart& part = this->parts.PartOf(number);
  const TrackedServerPtr& server = this->parts.ServerOf(number);
  const AttemptOutcome outcome = this->Classify(result);
  server->Release(
      outcome, *sent_at, now,
      state::IsOk(result) ? state::ValueOf(result).load : std::nullopt);
  if (state::IsOk(result) && state::ValueOf(result).is_other_server) {
    server->MarkLeaving();
  }
  if (server->NeedsHealthCheck()) effects.suspects.push_back(server);
  effects.freed_services.push_back(part.service);
  if (outcome == AttemptOutcome::kReplied) {
    this->policies.hedges.RecordReplyTime(this->route, now - *sent_at);
    if (!part.has_reply && !this->is_answered) {
      this->HandleReply(part, state::ValueOf(result));
    }
  } else {
    this->HandleFailure(part, outcome, result, now, effects);
  }
  this->Evaluate(now, effects);
  this->ScheduleTimer(now, effects);
  return effects;
}

void RelayRun::HandleReply(RelayPart& part, const RelayReply& answer) {
  const bool is_duplicate =
      std::find(this->signatures.begin(), this->signatures.end(),
                answer.signature) != this->signatures.end();
  if (is_duplicate) return;  // a signature counts for one part only
  part.has_reply = true;
  part.hedge_at = kNever;
  ++this->counts.parts_in;
  if (!this->route.IsGather()) {
    this->reply = answer;
    return;
  }
  this->merger.Add(answer.body);
  this->signatures.push_back(answer.signature);
}

void RelayRun::CountFailure(RelayPart& part, AttemptOutcome outcome) {
  if (outcome == AttemptOutcome::kNotSent ||
      outcome == AttemptOutcome::kCancelled) {
    --part.counted_attempts;
    ++part.unsent;
    ++this->counts.unsent;
  } else if (outcome == AttemptOutcome::kRefused) {
    ++this->counts.refused;
  } else {
    ++this->counts.erred;
    part.may_have_run = true;
  }
}

void RelayRun::HandleFailure(RelayPart& part, AttemptOutcome outcome,
                             const RelayResult& result, state::TimePoint now,
                             RelayEffects& effects) {
  this->CountFailure(part, outcome);
  if (outcome == AttemptOutcome::kErred) part.failure = state::ValueOf(result);
  if (this->is_answered || part.has_reply || part.open > 0) return;
  const bool is_final = part.failure &&
                        part.failure->status < kFirstServerError &&
                        !part.failure->signature.empty();
  if (is_final) return;
  if (part.may_have_run && !this->route.is_idempotent) return;
  this->LaunchOrQueue(part, now, effects);
}

void RelayRun::SendDueHedges(state::TimePoint now, RelayEffects& effects) {
  for (RelayPart& part : this->parts.All()) {
    if (part.has_reply || part.open == 0 || now < part.hedge_at) continue;
    part.hedge_at = kNever;
    if (this->TryLaunch(part, now, effects) || !this->MayAttempt(part)) {
      continue;
    }
    if (now + kHedgeRetryDelay < this->deadlines.soft) {
      part.hedge_at = now + kHedgeRetryDelay;
    }
  }
}

RelayEffects RelayRun::OnTimer(state::TimePoint now) {
  RelayEffects effects;
  if (this->is_answered) return effects;
  this->SendDueHedges(now, effects);
  this->Evaluate(now, effects);
  if (this->route.IsGather()) this->FailIfUnreachable(now, effects);
  this->ScheduleTimer(now, effects);
  return effects;
}

RelayEffects RelayRun::OnCapacity(const state::ServiceId& service,
                                  state::TimePoint now) {
  RelayEffects effects;
  bool is_capacity_used = false;
  for (RelayPart& part : this->parts.All()) {
    if (this->is_answered || !part.is_queued || part.service != service) {
      continue;
    }
    this->LaunchOrQueue(part, now, effects);
    is_capacity_used = part.IsPending();
  }
  if (!is_capacity_used) effects.freed_services.push_back(service);
  this->Evaluate(now, effects);
  this->ScheduleTimer(now, effects);
  return effects;
}

RelayEffects RelayRun::OnQueueFull(const state::ServiceId& service,
                                   state::TimePoint now) {
  RelayEffects effects;
  for (RelayPart& part : this->parts.All()) {
    if (part.service != service) continue;
    part.is_queued = false;
    this->admission.RecordCapacityShortage(part);
  }
  this->Evaluate(now, effects);
  this->ScheduleTimer(now, effects);
  return effects;
}

RelayEffects RelayRun::OnCallerGone(state::TimePoint now) {
  RelayEffects effects;
  if (!this->is_answered) {
    this->is_answered = true;
    RelayAnswer answer;
    answer.outcome = state::RelayOutcome::kAbandoned;
    answer.reason = state::RelayReason::kCallerLeft;
    effects.answer = answer;
  }
  this->parts.CancelAll(AttemptOutcome::kCancelled, now, effects);
  return effects;
}

RelayEffects RelayRun::OnHostStopping(state::TimePoint now) {
  RelayEffects effects;
  if (this->is_answered) return effects;
  if (this->route.IsGather() &&
      this->counts.parts_in >= this->counts.min_parts) {
    this->AnswerMerged(effects);
  } else {
    this->Fail(state::RelayOutcome::kTimedOut,
               state::RelayReason::kHostStopping, now, effects);
  }
  return effects;
}

void RelayRun::Evaluate(state::TimePoint now, RelayEffects& effects) {
  if (this->is_answered) return;
  if (this->route.IsGather()) {
    this->EvaluateGather(now, effects);
    this->has_passed_soft = now >= this->deadlines.soft;
  } else {
    this->EvaluateRelay(now, effects);
  }
}

void RelayRun::EvaluateGather(state::TimePoint now, RelayEffects& effects) {
  const std::size_t pending = this->parts.CountPending();
  const std::size_t parts_in = this->counts.parts_in;
  const bool has_min_parts = parts_in >= this->counts.min_parts;
  if (has_min_parts && (pending == 0 || now >= this->deadlines.soft)) {
    this->RecordLateness(now);
    this->AnswerMerged(effects);
  } else if (parts_in + pending < this->counts.min_parts) {
    this->Fail(state::RelayOutcome::kFailed,
               state::RelayReason::kMinCoverageUnreachable, now, effects);
  } else if (now >= this->deadlines.hard) {
    this->Fail(state::RelayOutcome::kTimedOut, state::RelayReason::kDeadline,
               now, effects);
  }
}

/// Fails a gather whose minimum coverage depends on unreachable servers.
void RelayRun::FailIfUnreachable(state::TimePoint now, RelayEffects& effects) {
  if (this->is_answered) return;
  std::size_t reachable = this->counts.parts_in;
  for (const RelayPart& part : this->parts.All()) {
    if (!part.IsPending()) continue;
    const bool has_other =
        this->MayAttempt(part) &&
        this->policies.picker.HasUsableServer(part.service, part.tried, now);
    if (has_other || !this->parts.WaitsOnUnreachableOnly(part)) ++reachable;
  }
  if (reachable >= this->counts.min_parts) return;
  this->Fail(state::RelayOutcome::kFailed, state::RelayReason::kServersGone,
             now, effects);
}

void RelayRun::EvaluateRelay(state::TimePoint now, RelayEffects& effects) {
  const RelayPart& part = this->parts.All().front();
  if (part.has_reply) {
    this->AnswerReply(std::move(*this->reply), effects);
  } else if (part.open == 0 && !part.is_queued) {
    if (part.failure && !part.failure->signature.empty() &&
        !part.failure->is_encoded) {
      this->AnswerReply(*part.failure, effects);
    } else {
      this->Fail(state::RelayOutcome::kFailed,
                 this->admission.HasCapacityShortage()
                     ? state::RelayReason::kNoCapacityInTime
                     : state::RelayReason::kServersFailed,
                 now, effects);
    }
  } else if (now >= this->deadlines.hard) {
    this->Fail(state::RelayOutcome::kTimedOut, state::RelayReason::kDeadline,
               now, effects);
  }
}

/// Records how late a gather is ended that could have been ended at its soft
/// deadline.
void RelayRun::RecordLateness(state::TimePoint now) {
  if (now < this->deadlines.soft || this->has_passed_soft) return;
  this->policies.answer_delay.RecordLateness(now - this->deadlines.soft);
}

void RelayRun::AnswerMerged(RelayEffects& effects) {
  this->is_answered = true;
  RelayAnswer answer;
  answer.missing = this->counts.parts - this->counts.parts_in;
  answer.outcome = answer.missing == 0 ? state::RelayOutcome::kWhole
                                       : state::RelayOutcome::kPartial;
  answer.signatures = std::move(this->signatures);
  answer.body = this->merger.Merged();
  effects.answer = std::move(answer);
}

void RelayRun::AnswerReply(RelayReply final_reply, RelayEffects& effects) {
  this->is_answered = true;
  RelayAnswer answer;
  answer.outcome = state::RelayOutcome::kAnswered;
  answer.reply = std::move(final_reply);
  effects.answer = std::move(answer);
}

void RelayRun::Fail(state::RelayOutcome if_run, state::RelayReason reason,
                    state::TimePoint now, RelayEffects& effects) {
  this->is_answered = true;
  const bool may_have_run = this->parts.MayHaveRun();
  RelayAnswer answer;
  answer.outcome = may_have_run ? if_run : state::RelayOutcome::kNotRun;
  answer.reason = reason;
  if (!may_have_run) {
    answer.retry_after =
        this->admission.RetryAfter(this->parts, this->counts.min_parts, now);
  }
  effects.answer = std::move(answer);
  // The results of requests still open would be discarded.
  if (!this->route.is_idempotent) return;
  this->parts.CancelAll(now >= this->deadlines.hard
                            ? AttemptOutcome::kTimedOut
                            : AttemptOutcome::kCancelled,
                        now, effects);
}

void RelayRun::ScheduleTimer(state::TimePoint now, RelayEffects& effects) {
  if (this->is_answered) return;
  state::TimePoint next = this->deadlines.soft;
  if (now >= this->deadlines.soft) {
    next = this->deadlines.hard;
    if (this->route.IsGather()) {
      next = std::min(next, now + kReachabilityCheckInterval);
    }
  }
  for (const RelayPart& part : this->parts.All()) {
    if (!part.has_reply) next = std::min(next, part.hedge_at);
  }
  if (this->next_timer_at > now && this->next_timer_at <= next) {
    return;  // an earlier timer is pending
  }
  this->next_timer_at = next;
  effects.next_timer_at = next;
}

bool RelayRun::IsSettled() const {
  return this->is_answered && !this->parts.HasOpen();
}

}  // namespace banyanknot::coordination
