#include "banyanknot/coordination/routing/relay_run.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace banyanknot::coordination {
namespace {

/// Connections that a part tries to make in vain before it is given up.
constexpr std::size_t kMostUnsent = 3;
constexpr state::TimePoint kNever = state::TimePoint::max();
constexpr unsigned kFirstServerError = 500;
/// A hedge that finds no room or budget is tried again after this: about one
/// request's time at a server.
constexpr state::Duration kHedgeRetry = state::Milliseconds(15);
/// Time from one look at a late gather's servers to the next: twice the
/// shortest time between two checks of a server, which change what the look
/// finds.
constexpr state::Duration kHopeInterval = state::Milliseconds(40);
/// Rounding of a share of shards that is given in decimals.
constexpr double kShareEpsilon = 1e-9;

std::size_t NeededOf(const state::Route& route) {
  if (!route.IsGather()) return 1;
  const double needed =
      std::ceil(route.min_coverage * static_cast<double>(route.shards.size()) -
                kShareEpsilon);
  return std::max<std::size_t>(1, static_cast<std::size_t>(needed));
}

RelayCounts FirstCounts(const state::Route& route, std::size_t parts) {
  RelayCounts counts;
  counts.parts = parts;
  counts.needed = NeededOf(route);
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
      times(RelayTimes::Of(*this->request, route)),
      parts(std::move(services)),
      counts(FirstCounts(route, this->parts.All().size())),
      room(policies, route, times.end),
      merger(route.top_k) {}

RelayEffects RelayRun::Start(state::TimePoint now) {
  RelayEffects effects;
  for (const RelayPart& part : this->parts.All()) {
    this->policies.budget.NoteRequest(part.service, now);
  }
  const Shortage shortage =
      this->room.FloorShortage(this->parts, this->counts.needed, now);
  if (shortage != Shortage::kNone) {
    this->Fail(state::RelayOutcome::kNotRun,
               shortage == Shortage::kNoServer
                   ? state::RelayReason::kNoUsableServer
                   : state::RelayReason::kNoCapacityInTime,
               now, effects);
    return effects;
  }
  for (RelayPart& part : this->parts.All()) {
    this->LaunchOrWait(part, now, effects);
  }
  this->Evaluate(now, effects);
  this->SetWake(now, effects);
  return effects;
}

bool RelayRun::MayLaunch(const RelayPart& part) const {
  return !this->is_answered && !part.is_in &&
         part.arrivals < this->route.max_attempts && part.unsent < kMostUnsent;
}

bool RelayRun::PaysFor(const RelayPart& part, state::TimePoint now) {
  if (part.arrivals == 0) return true;
  if (!this->policies.budget.TryTake(part.service, now)) return false;
  ++this->counts.extra;
  return true;
}

bool RelayRun::Launch(RelayPart& part, state::TimePoint now,
                      RelayEffects& effects) {
  if (!this->MayLaunch(part) || now >= this->times.end) return false;
  const TrackedServerPtr server =
      this->policies.picker.Pick(part.service, part.tried, now);
  if (server == nullptr) return false;
  if (!this->PaysFor(part, now)) {
    server->End(AttemptEnd::kWithdrawn, now, now, std::nullopt);
    return false;
  }
  const std::uint32_t number = this->parts.Open(part, server, now);
  ++this->counts.sent;
  const bool is_first = part.arrivals == 1;
  part.hedge_at =
      is_first && this->route.is_idempotent && this->route.max_attempts > 1
          ? now + this->policies.hedges.HedgeAfter(this->route)
          : kNever;
  effects.sends.push_back({number, server, this->times.end});
  return true;
}

void RelayRun::LaunchOrWait(RelayPart& part, state::TimePoint now,
                            RelayEffects& effects) {
  const bool has_waited = std::exchange(part.is_waiting, false);
  if (has_waited && this->room.IsTooLate(part, now)) {
    this->room.NoteCrowded(part);
    return;
  }
  if (this->Launch(part, now, effects)) return;
  if (!this->MayLaunch(part) || part.arrivals > 0) return;
  switch (this->room.ShortageOf(part, now)) {
    case Shortage::kNone:
      part.is_waiting = true;
      effects.waits.push_back(part.service);
      break;
    case Shortage::kNoCapacityInTime:
      this->room.NoteCrowded(part);
      break;
    case Shortage::kNoServer:
      break;
  }
}

AttemptEnd RelayRun::Classify(const RelayResult& result) const {
  if (!state::IsOk(result)) {
    switch (state::ErrorOf(result)) {
      case RelayFailure::kNotSent:
        return AttemptEnd::kNotSent;
      case RelayFailure::kLimit:
        return AttemptEnd::kWithdrawn;
      case RelayFailure::kTimeout:
        return AttemptEnd::kSilent;
      default:
        return AttemptEnd::kBroken;
    }
  }
  const RelayReply& answer = state::ValueOf(result);
  if (answer.IsSuccess()) return AttemptEnd::kReplied;
  if (answer.is_proven_not_run) return AttemptEnd::kRefused;
  return AttemptEnd::kErred;
}

RelayEffects RelayRun::OnResult(std::uint32_t number, const RelayResult& result,
                                state::TimePoint now) {
  RelayEffects effects;
  const std::optional<state::TimePoint> sent_at = this->parts.Close(number);
  if (!sent_at) return effects;
  RelayPart& part = this->parts.PartOf(number);
  const TrackedServerPtr& server = this->parts.ServerOf(number);
  const AttemptEnd end = this->Classify(result);
  server->End(end, *sent_at, now,
              state::IsOk(result) ? state::ValueOf(result).load : std::nullopt);
  if (state::IsOk(result) && state::ValueOf(result).is_other_server) {
    server->MarkLeaving();
  }
  if (server->NeedsCheck()) effects.doubts.push_back(server);
  effects.freed.push_back(part.service);
  if (end == AttemptEnd::kReplied) {
    this->policies.hedges.NoteReply(this->route, now - *sent_at);
    if (!part.is_in && !this->is_answered) {
      this->TakePart(part, state::ValueOf(result));
    }
  } else {
    this->TakeFailure(part, end, result, now, effects);
  }
  this->Evaluate(now, effects);
  this->SetWake(now, effects);
  return effects;
}

void RelayRun::TakePart(RelayPart& part, const RelayReply& answer) {
  const bool is_known =
      std::find(this->signatures.begin(), this->signatures.end(),
                answer.signature) != this->signatures.end();
  if (is_known) return;  // one signature stands for one part only
  part.is_in = true;
  part.hedge_at = kNever;
  ++this->counts.parts_in;
  if (!this->route.IsGather()) {
    this->reply = answer;
    return;
  }
  this->merger.Add(answer.body);
  this->signatures.push_back(answer.signature);
}

void RelayRun::CountFailure(RelayPart& part, AttemptEnd end) {
  if (end == AttemptEnd::kNotSent || end == AttemptEnd::kWithdrawn) {
    --part.arrivals;
    ++part.unsent;
    ++this->counts.unsent;
  } else if (end == AttemptEnd::kRefused) {
    ++this->counts.refused;
  } else {
    ++this->counts.erred;
    part.may_have_run = true;
  }
}

void RelayRun::TakeFailure(RelayPart& part, AttemptEnd end,
                           const RelayResult& result, state::TimePoint now,
                           RelayEffects& effects) {
  this->CountFailure(part, end);
  if (end == AttemptEnd::kErred && !state::ValueOf(result).is_other_request) {
    part.failure = state::ValueOf(result);
  }
  if (this->is_answered || part.is_in || part.open > 0) return;
  const bool is_final = part.failure &&
                        part.failure->status < kFirstServerError &&
                        !part.failure->signature.empty();
  if (is_final) return;
  if (part.may_have_run && !this->route.is_idempotent) return;
  this->LaunchOrWait(part, now, effects);
}

void RelayRun::Hedge(state::TimePoint now, RelayEffects& effects) {
  for (RelayPart& part : this->parts.All()) {
    if (part.is_in || part.open == 0 || now < part.hedge_at) continue;
    part.hedge_at = kNever;
    if (this->Launch(part, now, effects) || !this->MayLaunch(part)) continue;
    if (now + kHedgeRetry < this->times.due) part.hedge_at = now + kHedgeRetry;
  }
}

RelayEffects RelayRun::OnWake(state::TimePoint now) {
  RelayEffects effects;
  if (this->is_answered) return effects;
  this->Hedge(now, effects);
  this->Evaluate(now, effects);
  if (this->route.IsGather()) this->EndIfHopeless(now, effects);
  this->SetWake(now, effects);
  return effects;
}

RelayEffects RelayRun::OnRoom(const state::ServiceId& service,
                              state::TimePoint now) {
  RelayEffects effects;
  bool is_taken = false;
  for (RelayPart& part : this->parts.All()) {
    if (this->is_answered || !part.is_waiting || part.service != service) {
      continue;
    }
    this->LaunchOrWait(part, now, effects);
    is_taken = part.IsPending();
  }
  if (!is_taken) effects.freed.push_back(service);
  this->Evaluate(now, effects);
  this->SetWake(now, effects);
  return effects;
}

RelayEffects RelayRun::OnNoRoom(const state::ServiceId& service,
                                state::TimePoint now) {
  RelayEffects effects;
  for (RelayPart& part : this->parts.All()) {
    if (part.service != service) continue;
    part.is_waiting = false;
    this->room.NoteCrowded(part);
  }
  this->Evaluate(now, effects);
  this->SetWake(now, effects);
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
  this->parts.EndAll(AttemptEnd::kWithdrawn, now, effects);
  return effects;
}

void RelayRun::Evaluate(state::TimePoint now, RelayEffects& effects) {
  if (this->is_answered) return;
  if (this->route.IsGather()) {
    this->EvaluateGather(now, effects);
  } else {
    this->EvaluateRelay(now, effects);
  }
}

void RelayRun::EvaluateGather(state::TimePoint now, RelayEffects& effects) {
  const std::size_t pending = this->parts.CountPending();
  const std::size_t parts_in = this->counts.parts_in;
  const bool is_enough = parts_in >= this->counts.needed;
  if (is_enough && (pending == 0 || now >= this->times.due)) {
    this->AnswerMerged(effects);
  } else if (parts_in + pending < this->counts.needed) {
    this->Fail(state::RelayOutcome::kFailed,
               state::RelayReason::kMinCoverageUnreachable, now, effects);
  } else if (now >= this->times.end) {
    this->Fail(state::RelayOutcome::kTimedOut, state::RelayReason::kDeadline,
               now, effects);
  }
}

/// Ends a gather whose floor hangs on servers that seem gone.
void RelayRun::EndIfHopeless(state::TimePoint now, RelayEffects& effects) {
  if (this->is_answered) return;
  std::size_t reachable = this->counts.parts_in;
  for (const RelayPart& part : this->parts.All()) {
    if (!part.IsPending()) continue;
    const bool has_other =
        this->MayLaunch(part) &&
        this->policies.picker.HasUsable(part.service, part.tried, now);
    if (has_other || !this->parts.WaitsInVain(part)) ++reachable;
  }
  if (reachable >= this->counts.needed) return;
  this->Fail(state::RelayOutcome::kFailed, state::RelayReason::kServersGone,
             now, effects);
}

void RelayRun::EvaluateRelay(state::TimePoint now, RelayEffects& effects) {
  const RelayPart& part = this->parts.All().front();
  if (part.is_in) {
    this->AnswerReply(std::move(*this->reply), effects);
  } else if (part.open == 0 && !part.is_waiting) {
    if (part.failure && !part.failure->signature.empty() &&
        !part.failure->is_encoded) {
      this->AnswerReply(*part.failure, effects);
    } else {
      this->Fail(state::RelayOutcome::kFailed,
                 this->room.IsCrowded() ? state::RelayReason::kNoCapacityInTime
                                        : state::RelayReason::kServersFailed,
                 now, effects);
    }
  } else if (now >= this->times.end) {
    this->Fail(state::RelayOutcome::kTimedOut, state::RelayReason::kDeadline,
               now, effects);
  }
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
    answer.retry_after = this->room.ReturnAfter(now);
  }
  effects.answer = std::move(answer);
  // What servers still do for it is of no use to anyone.
  if (!this->route.is_idempotent) return;
  this->parts.EndAll(
      now >= this->times.end ? AttemptEnd::kSilent : AttemptEnd::kWithdrawn,
      now, effects);
}

void RelayRun::SetWake(state::TimePoint now, RelayEffects& effects) {
  if (this->is_answered) return;
  state::TimePoint next = this->times.due;
  if (now >= this->times.due) {
    next = this->times.end;
    if (this->route.IsGather()) next = std::min(next, now + kHopeInterval);
  }
  for (const RelayPart& part : this->parts.All()) {
    if (!part.is_in) next = std::min(next, part.hedge_at);
  }
  if (this->wake_at > now && this->wake_at <= next) return;  // wakes anyway
  this->wake_at = next;
  effects.wake_at = next;
}

bool RelayRun::IsSettled() const {
  return this->is_answered && !this->parts.HasOpen();
}

}  // namespace banyanknot::coordination
