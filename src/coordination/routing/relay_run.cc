#include "banyanknot/coordination/routing/relay_run.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace banyanknot::coordination {
namespace {

/// The caller's way here and back and the making of its connection, which
/// count for its objective but can't be seen from here.
constexpr state::Duration kCallerWay = state::Milliseconds(14);
/// Time kept for the way back before the caller gives up.
constexpr state::Duration kReturnTime = state::Milliseconds(12);
/// Connections that a part tries to make in vain before it is given up.
constexpr std::size_t kMostUnsent = 3;
/// Spread of the time after which a refused caller may come back.
constexpr std::int64_t kLeastRetryMs = 40;
constexpr std::int64_t kRetrySpreadMs = 120;
constexpr state::TimePoint kNever = state::TimePoint::max();
constexpr unsigned kFirstServerError = 500;
/// A hedge that finds no room or budget is tried again after this: about one
/// request's time at a server.
constexpr state::Duration kHedgeRetry = state::Milliseconds(15);
/// Rounding of a share of shards that is given in decimals.
constexpr double kShareEpsilon = 1e-9;

std::size_t NeededOf(const state::Route& route) {
  if (!route.IsGather()) return 1;
  const double needed = std::ceil(route.least_coverage *
                                      static_cast<double>(route.shards.size()) -
                                  kShareEpsilon);
  return std::max<std::size_t>(1, static_cast<std::size_t>(needed));
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
      needed(NeededOf(route)),
      merger(route.top_records) {
  this->parts.resize(services.size());
  for (std::size_t index = 0; index < services.size(); ++index) {
    this->parts[index].service = std::move(services[index]);
    this->parts[index].hedge_at = kNever;
  }
  this->counts.parts = this->parts.size();
  const state::TimePoint start = this->request->received_at;
  this->due =
      start + std::max(route.objective - kCallerWay, route.objective / 2);
  const state::Duration patience = std::max(
      this->request->deadline - kReturnTime, this->request->deadline / 2);
  this->end = start + std::min(patience, route.timeout);
  this->due = std::min(this->due, this->end);
}

RelayEffects RelayRun::Start(state::TimePoint now) {
  RelayEffects effects;
  for (const Part& part : this->parts) {
    this->policies.budget.NoteRequest(part.service, now);
  }
  if (!this->CanReachFloor(now)) {
    this->Fail(state::RelayOutcome::kFailed, "no_usable_server", now, effects);
    return effects;
  }
  for (Part& part : this->parts) this->LaunchOrWait(part, now, effects);
  this->Evaluate(now, effects);
  this->SetWake(now, effects);
  return effects;
}

bool RelayRun::CanReachFloor(state::TimePoint now) const {
  std::size_t usable = 0;
  for (const Part& part : this->parts) {
    if (this->policies.picker.HasUsable(part.service, part.tried, now)) {
      ++usable;
    }
  }
  return usable >= this->needed;
}

bool RelayRun::MayLaunch(const Part& part) const {
  return !this->is_answered && !part.is_in &&
         part.arrivals < this->route.max_attempts && part.unsent < kMostUnsent;
}

bool RelayRun::PaysFor(const Part& part, state::TimePoint now) {
  if (part.arrivals == 0) return true;
  if (!this->policies.budget.TryTake(part.service, now)) return false;
  ++this->counts.extra;
  return true;
}

bool RelayRun::Launch(Part& part, state::TimePoint now, RelayEffects& effects) {
  if (!this->MayLaunch(part) || now >= this->end) return false;
  const TrackedServerPtr server =
      this->policies.picker.Pick(part.service, part.tried, now);
  if (server == nullptr) return false;
  if (!this->PaysFor(part, now)) {
    server->End(AttemptEnd::kWithdrawn, now, now, std::nullopt);
    return false;
  }
  const std::uint32_t number =
      static_cast<std::uint32_t>(this->attempts.size());
  Attempt attempt;
  attempt.part = static_cast<std::size_t>(&part - this->parts.data());
  attempt.server = server;
  attempt.sent_at = now;
  this->attempts.push_back(attempt);
  part.tried.push_back(server->Record().id);
  part.is_waiting = false;
  ++part.arrivals;
  ++part.open;
  ++this->counts.sent;
  const bool is_first = part.arrivals == 1;
  part.hedge_at =
      is_first && this->route.is_repeatable && this->route.max_attempts > 1
          ? now + this->policies.hedges.HedgeAfter(this->route)
          : kNever;
  effects.sends.push_back({number, server, this->end});
  return true;
}

void RelayRun::LaunchOrWait(Part& part, state::TimePoint now,
                            RelayEffects& effects) {
  if (this->Launch(part, now, effects)) return;
  part.is_waiting =
      this->MayLaunch(part) && part.arrivals == 0 &&
      this->policies.picker.HasUsable(part.service, part.tried, now);
  if (part.is_waiting) effects.waits.push_back(part.service);
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
  Attempt& attempt = this->attempts[number];
  if (!attempt.is_open) return effects;
  attempt.is_open = false;
  Part& part = this->parts[attempt.part];
  --part.open;
  const AttemptEnd end = this->Classify(result);
  attempt.server->End(
      end, attempt.sent_at, now,
      state::IsOk(result) ? state::ValueOf(result).load : std::nullopt);
  if (state::IsOk(result) && state::ValueOf(result).is_other_server) {
    attempt.server->MarkLeaving();
  }
  if (attempt.server->NeedsCheck()) effects.doubts.push_back(attempt.server);
  effects.freed.push_back(part.service);
  if (end == AttemptEnd::kReplied) {
    this->policies.hedges.NoteReply(this->route, now - attempt.sent_at);
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

void RelayRun::TakePart(Part& part, const RelayReply& answer) {
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

void RelayRun::TakeFailure(Part& part, AttemptEnd end,
                           const RelayResult& result, state::TimePoint now,
                           RelayEffects& effects) {
  const bool was_sent =
      end != AttemptEnd::kNotSent && end != AttemptEnd::kWithdrawn;
  if (!was_sent) {
    --part.arrivals;
    ++part.unsent;
    ++this->counts.unsent;
  } else if (end == AttemptEnd::kRefused) {
    ++this->counts.refused;
  } else {
    ++this->counts.erred;
    part.may_have_run = true;
  }
  if (end == AttemptEnd::kErred && !state::ValueOf(result).is_other_request) {
    part.failure = state::ValueOf(result);
  }
  if (this->is_answered || part.is_in || part.open > 0) return;
  const bool is_final = part.failure &&
                        part.failure->status < kFirstServerError &&
                        !part.failure->signature.empty();
  if (is_final) return;
  if (part.may_have_run && !this->route.is_repeatable) return;
  this->LaunchOrWait(part, now, effects);
}

void RelayRun::Hedge(state::TimePoint now, RelayEffects& effects) {
  for (Part& part : this->parts) {
    if (part.is_in || part.open == 0 || now < part.hedge_at) continue;
    part.hedge_at = kNever;
    if (this->Launch(part, now, effects) || !this->MayLaunch(part)) continue;
    if (now + kHedgeRetry < this->due) part.hedge_at = now + kHedgeRetry;
  }
}

RelayEffects RelayRun::OnWake(state::TimePoint now) {
  RelayEffects effects;
  if (this->is_answered) return effects;
  this->Hedge(now, effects);
  this->Evaluate(now, effects);
  this->SetWake(now, effects);
  return effects;
}

RelayEffects RelayRun::OnRoom(const state::ServiceId& service,
                              state::TimePoint now) {
  RelayEffects effects;
  bool is_taken = false;
  for (Part& part : this->parts) {
    if (this->is_answered || !part.is_waiting || part.service != service) {
      continue;
    }
    is_taken = true;
    this->LaunchOrWait(part, now, effects);
  }
  if (!is_taken) effects.freed.push_back(service);
  this->Evaluate(now, effects);
  this->SetWake(now, effects);
  return effects;
}

RelayEffects RelayRun::OnNoRoom(const state::ServiceId& service,
                                state::TimePoint now) {
  RelayEffects effects;
  for (Part& part : this->parts) {
    if (part.service == service) part.is_waiting = false;
  }
  this->Evaluate(now, effects);
  this->SetWake(now, effects);
  return effects;
}

std::string RelayRun::MissingText() const {
  constexpr std::size_t kMostNamed = 4;
  std::string text;
  std::size_t named = 0;
  for (const Part& part : this->parts) {
    if (part.is_in || named == kMostNamed) continue;
    ++named;
    if (!text.empty()) text += ",";
    text += part.service.Text();
    for (const state::InstanceId& server : part.tried) {
      text += "@" + server.Text();
    }
  }
  return text;
}

RelayEffects RelayRun::OnCallerGone(state::TimePoint now) {
  RelayEffects effects;
  if (!this->is_answered) {
    this->is_answered = true;
    RelayAnswer answer;
    answer.outcome = state::RelayOutcome::kAbandoned;
    answer.reason = "caller_left";
    effects.answer = answer;
  }
  this->Withdraw(now, effects);
  return effects;
}

void RelayRun::Withdraw(state::TimePoint now, RelayEffects& effects) {
  for (std::uint32_t number = 0; number < this->attempts.size(); ++number) {
    Attempt& attempt = this->attempts[number];
    if (!attempt.is_open) continue;
    attempt.is_open = false;
    Part& part = this->parts[attempt.part];
    --part.open;
    attempt.server->End(AttemptEnd::kWithdrawn, attempt.sent_at, now,
                        std::nullopt);
    effects.withdrawals.push_back(number);
    effects.freed.push_back(part.service);
  }
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
  std::size_t pending = 0;
  for (const Part& part : this->parts) {
    if (!part.is_in && (part.open > 0 || part.is_waiting)) ++pending;
  }
  const std::size_t parts_in = this->counts.parts_in;
  const bool is_enough = parts_in >= this->needed;
  if (is_enough && (pending == 0 || now >= this->due)) {
    this->AnswerMerged(effects);
  } else if (parts_in + pending < this->needed) {
    this->Fail(state::RelayOutcome::kFailed, "floor_out_of_reach", now,
               effects);
  } else if (now >= this->end) {
    this->Fail(state::RelayOutcome::kTimedOut, "deadline", now, effects);
  }
}

void RelayRun::EvaluateRelay(state::TimePoint now, RelayEffects& effects) {
  const Part& part = this->parts.front();
  if (part.is_in) {
    this->AnswerReply(std::move(*this->reply), effects);
  } else if (part.open == 0 && !part.is_waiting) {
    if (part.failure && !part.failure->signature.empty() &&
        !part.failure->is_encoded) {
      this->AnswerReply(*part.failure, effects);
    } else {
      this->Fail(state::RelayOutcome::kFailed, "servers_failed", now, effects);
    }
  } else if (now >= this->end) {
    this->Fail(state::RelayOutcome::kTimedOut, "deadline", now, effects);
  }
}

void RelayRun::AnswerMerged(RelayEffects& effects) {
  this->is_answered = true;
  RelayAnswer answer;
  answer.missing = this->parts.size() - this->counts.parts_in;
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

void RelayRun::Fail(state::RelayOutcome if_run, const char* reason,
                    state::TimePoint now, RelayEffects& effects) {
  this->is_answered = true;
  const bool may_have_run =
      std::any_of(this->parts.begin(), this->parts.end(), [](const Part& part) {
        return part.is_in || part.may_have_run || part.open > 0;
      });
  RelayAnswer answer;
  answer.outcome = may_have_run ? if_run : state::RelayOutcome::kNotRun;
  answer.reason = reason;
  if (!may_have_run) answer.retry_after = this->DrawRetryAfter();
  effects.answer = std::move(answer);
  // What servers still do for it is of no use to anyone.
  if (this->route.is_repeatable) this->Withdraw(now, effects);
}

state::Duration RelayRun::DrawRetryAfter() {
  return state::Milliseconds(
      kLeastRetryMs + static_cast<std::int64_t>(this->policies.random.Below(
                          static_cast<std::uint64_t>(kRetrySpreadMs))));
}

void RelayRun::SetWake(state::TimePoint now, RelayEffects& effects) {
  if (this->is_answered) return;
  state::TimePoint next = now < this->due ? this->due : this->end;
  for (const Part& part : this->parts) {
    if (!part.is_in) next = std::min(next, part.hedge_at);
  }
  if (this->wake_at > now && this->wake_at <= next) return;  // wakes anyway
  this->wake_at = next;
  effects.wake_at = next;
}

bool RelayRun::IsSettled() const {
  return this->is_answered &&
         std::none_of(this->attempts.begin(), this->attempts.end(),
                      [](const Attempt& attempt) { return attempt.is_open; });
}

}  // namespace banyanknot::coordination
