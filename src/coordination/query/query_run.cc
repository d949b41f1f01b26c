#include "banyanknot/coordination/query/query_run.h"

#include <algorithm>
#include <utility>

#include "banyanknot/coordination/query/query_outcome.h"
#include "banyanknot/state/util/assert.h"

namespace banyanknot::coordination {
namespace {

constexpr state::Duration kMinAnswerMargin = state::Milliseconds(1);
constexpr state::Duration kMaxAnswerMargin = state::Milliseconds(20);
constexpr int kAnswerMarginDivisor = 16;
constexpr state::Duration kMinAttemptTimeout = state::Milliseconds(20);
constexpr int kHedgeDelaysPerTimeout = 8;
constexpr state::Duration kFirstWait = state::Milliseconds(1);
constexpr int kMaxWaitDoublings = 4;
constexpr state::Duration kNotRunRetryAfter = state::Milliseconds(100);

}  // namespace

QueryTimes MakeQueryTimes(state::TimePoint now, state::Duration allowed) {
  BANYANKNOT_ASSERT(allowed.count() > 0, "refuse deadlines that are past");
  const state::Duration margin =
      std::min(std::clamp<state::Duration>(allowed / kAnswerMarginDivisor,
                                           kMinAnswerMargin, kMaxAnswerMargin),
               allowed / 2);
  return {now, now + allowed - margin, now + allowed};
}

QueryRun::QueryRun(state::RequestId id, state::Query query,
                   ShardMap::Pointer map, const QueryTimes& times,
                   ShardMapTable& maps, const QueryPolicies& policies)
    : id(id),
      query(std::move(query)),
      used_maps{std::move(map)},
      times(times),
      rule(this->used_maps.front()->Service(), this->query),
      maps(maps),
      policies(policies),
      sender(id, this->query, times.answer_by, policies.selector,
             policies.gate) {}

const state::ServiceEntry& QueryRun::Service() const {
  return this->used_maps.front()->Service();
}

SendContext QueryRun::ContextAt(state::TimePoint now) const {
  return {this->round, this->snapshot, now};
}

QueryEffects QueryRun::Start(state::TimePoint now) {
  QueryEffects effects;
  const std::size_t shard_count = this->used_maps.front()->Shards().size();
  effects.send.reserve(shard_count);
  this->pieces.reserve(shard_count);
  this->reply_times.reserve(shard_count);
  this->sender.Attempts().Reserve(shard_count + shard_count / 8);
  this->hedge_delay = this->policies.hedges.DelayOf(this->query.service);
  this->snapshot =
      this->policies.snapshots.ChooseFirst(*this->used_maps.front());
  this->Plan(this->Service().key_space, 0, WorkKind::kFirst, now, effects);
  if (this->rule.AllowsPartial()) this->NoteTime(this->times.answer_by);
  this->Conclude(now, effects);
  return effects;
}

void QueryRun::Plan(const state::KeyRange& range, std::uint8_t attempts_used,
                    WorkKind kind, state::TimePoint now,
                    QueryEffects& effects) {
  const ShardMap& map = *this->used_maps.back();
  for (const MappedShard* shard : map.ShardsOf(range)) {
    QueryPiece piece;
    piece.range = {std::max(range.begin, shard->range.begin),
                   std::min(range.end, shard->range.end)};
    piece.map = &map;
    piece.shard = shard;
    piece.attempt_count = attempts_used;
    this->pieces.push_back(piece);
    ++this->pieces_open;
    const std::size_t index = this->pieces.size() - 1;
    const SendResult result = this->IsGivingUp()
                                  ? SendResult::kNone
                                  : this->SendPiece(index, kind, now, effects);
    if (result == SendResult::kNone) this->MarkExhausted(this->pieces[index]);
  }
}

SendResult QueryRun::SendPiece(std::size_t index, WorkKind kind,
                               state::TimePoint now, QueryEffects& effects) {
  QueryPiece& piece = this->pieces[index];
  const SendResult result =
      this->sender.Send(piece, index, kind, this->ContextAt(now), effects);
  if (result == SendResult::kWait && kind != WorkKind::kHedge) {
    this->WaitForReplica(piece, now);
  }
  if (result != SendResult::kSent) return result;
  piece.has_retry_budget = false;
  piece.retry_at = kNever;
  if (kind == WorkKind::kFirst) ++this->tally.first_attempts;
  if (kind == WorkKind::kHedge) ++this->tally.hedges;
  if (kind == WorkKind::kRetry) ++this->tally.retries;
  if (piece.open_count == 1) this->ScheduleChecks(piece, now);
  return result;
}

void QueryRun::ScheduleChecks(QueryPiece& piece, state::TimePoint now) {
  state::Duration timeout = (this->times.answer_by - now) / 2;
  piece.hedge_at = kNever;
  if (this->hedge_delay) {
    piece.hedge_at = now + *this->hedge_delay;
    timeout = std::min(timeout,
                       std::max(kMinAttemptTimeout,
                                *this->hedge_delay * kHedgeDelaysPerTimeout));
  }
  piece.timeout_at = now + timeout;
  this->NoteTime(std::min(piece.hedge_at, piece.timeout_at));
}

void QueryRun::WaitForReplica(QueryPiece& piece, state::TimePoint now) {
  const int doublings = std::min<int>(piece.waits, kMaxWaitDoublings);
  if (piece.waits < kMaxWaitDoublings) ++piece.waits;
  piece.retry_at = now + kFirstWait * (1 << doublings);
  this->NoteTime(piece.retry_at);
}

void QueryRun::NoteTime(state::TimePoint when) {
  this->next_check = std::min(this->next_check, when);
}

QueryEffects QueryRun::OnWake(state::TimePoint now) {
  QueryEffects effects;
  if (this->done) return effects;
  this->scheduled_check = kNever;
  this->next_check = kNever;
  if (this->rule.AllowsPartial() && now < this->times.answer_by) {
    this->NoteTime(this->times.answer_by);
  }
  for (std::size_t index = 0; index < this->pieces.size(); ++index) {
    this->Resume(index, now, effects);
  }
  this->Conclude(now, effects);
  return effects;
}

void QueryRun::Resume(std::size_t index, state::TimePoint now,
                      QueryEffects& effects) {
  const QueryPiece& piece = this->pieces[index];
  if (piece.piece_state != PieceState::kOpen || this->IsGivingUp()) return;
  if (piece.retry_at <= now) {
    this->Reroute(index, now, effects);
  } else {
    if (piece.hedge_at <= now) this->Hedge(index, now, effects);
    if (piece.timeout_at <= now) this->OnAttemptTimeout(index, now, effects);
  }
  const QueryPiece& resumed = this->pieces[index];  // may have been moved
  if (resumed.piece_state != PieceState::kOpen) return;
  this->NoteTime(
      std::min({resumed.retry_at, resumed.hedge_at, resumed.timeout_at}));
}

void QueryRun::Hedge(std::size_t index, state::TimePoint now,
                     QueryEffects& effects) {
  QueryPiece& piece = this->pieces[index];
  piece.hedge_at = kNever;
  if (piece.open_count != 1 || !AttemptSender::HasUntried(piece)) return;
  if (!this->policies.hedges.TryTake(this->query.service)) {
    piece.hedge_at = now + *this->hedge_delay;
    return;
  }
  this->SendPiece(index, WorkKind::kHedge, now, effects);
}

void QueryRun::OnAttemptTimeout(std::size_t index, state::TimePoint now,
                                QueryEffects& effects) {
  QueryPiece& piece = this->pieces[index];
  piece.timeout_at = kNever;
  if (piece.open_count != 1 || !AttemptSender::HasUntried(piece)) return;
  if (!this->policies.retries.TryTake(this->Service())) return;
  const SendResult result =
      this->SendPiece(index, WorkKind::kRetry, now, effects);
  if (result == SendResult::kWait) piece.has_retry_budget = true;
}

QueryEffects QueryRun::Stop(state::TimePoint now) {
  QueryEffects effects;
  if (!this->done) this->Finish(now, effects);
  return effects;
}

void QueryRun::MarkDone(QueryPiece& piece, QueryEffects& effects) {
  if (piece.piece_state != PieceState::kOpen) return;
  piece.piece_state = PieceState::kDone;
  --this->pieces_open;
  if (piece.open_count > 0) this->CancelOpen(piece, effects);
}

void QueryRun::MarkExhausted(QueryPiece& piece) {
  if (piece.piece_state != PieceState::kOpen || piece.open_count > 0) return;
  piece.piece_state = PieceState::kExhausted;
  --this->pieces_open;
  ++this->pieces_exhausted;
}

void QueryRun::CancelOpen(const QueryPiece& piece, QueryEffects& effects) {
  for (std::size_t index = 0; index < piece.attempt_count; ++index) {
    const QueryAttempt* attempt =
        this->sender.Attempts().FindOpen(piece.attempts[index]);
    if (attempt != nullptr) {
      effects.cancel.push_back(this->sender.MakeRequest(*attempt));
    }
  }
}

void QueryRun::CancelAll(QueryEffects& effects) {
  for (const QueryPiece& piece : this->pieces) {
    const bool is_cancelled = piece.piece_state == PieceState::kDone;
    if (!is_cancelled && piece.open_count > 0) {
      this->CancelOpen(piece, effects);
    }
  }
}

void QueryRun::Conclude(state::TimePoint now, QueryEffects& effects) {
  if (this->done) return;
  if (this->IsOver(now)) {
    this->Finish(now, effects);
  } else if (this->next_check < this->scheduled_check) {
    this->scheduled_check = this->next_check;
    effects.wake_at = this->next_check;
  }
}

bool QueryRun::IsOver(state::TimePoint now) const {
  if (this->pieces_open == 0 || now >= this->times.deadline) return true;
  if (this->IsGivingUp()) {
    // While nothing is known to have run, the open attempts may yet prove it.
    return this->unproven_results > 0 ||
           this->sender.Attempts().OpenCount() == 0;
  }
  if (!this->rule.AllowsPartial()) return false;
  return now >= this->times.answer_by &&
         this->merger.CoverageOf(this->Service().key_space) >=
             this->rule.Floor();
}

bool QueryRun::IsGivingUp() const {
  return !this->rule.AllowsPartial() && this->pieces_exhausted > 0;
}

bool QueryRun::MayHaveRun() const {
  return this->unproven_results > 0 || this->sender.Attempts().OpenCount() > 0;
}

void QueryRun::Finish(state::TimePoint now, QueryEffects& effects) {
  this->done = true;
  const state::KeyRange& key_space = this->Service().key_space;
  QueryFacts facts;
  facts.coverage = this->merger.CoverageOf(key_space);
  facts.floor = this->rule.Floor();
  facts.may_have_run = this->MayHaveRun();
  facts.only_rejected = this->rejected_replies > 0 &&
                        this->rejected_replies == this->unproven_results;
  facts.is_past_deadline = now >= this->times.answer_by;
  state::Answer answer;
  answer.request = this->id;
  answer.service = this->query.service;
  answer.outcome = JudgeOutcome(facts);
  answer.reason = ReasonOf(answer.outcome, facts);
  if (answer.outcome == state::Outcome::kNotRun) {
    answer.retry_after = kNotRunRetryAfter;
  }
  if (answer.outcome != state::Outcome::kOk && !this->rule.ShowsShortAnswer()) {
    this->merger.Clear();
  }
  answer.coverage = this->merger.CoverageOf(key_space);
  if (answer.coverage > 0) answer.snapshot = this->snapshot;
  answer.missing = this->merger.MissingFrom(key_space);
  answer.records = this->merger.TakeRecords();
  ++this->tally.Of(answer.outcome);
  effects.answer = std::move(answer);
  this->CancelAll(effects);
  this->ReportTimes(now);
}

void QueryRun::ReportTimes(state::TimePoint now) {
  const std::size_t successes = this->reply_times.size();
  for (const QueryPiece& piece : this->pieces) {
    for (std::size_t index = 0;
         piece.open_count > 0 && index < piece.attempt_count; ++index) {
      const QueryAttempt* attempt =
          this->sender.Attempts().FindOpen(piece.attempts[index]);
      if (attempt != nullptr) {
        this->reply_times.push_back(now - attempt->sent_at);
      }
    }
  }
  this->policies.retries.OnSuccesses(this->Service(), successes);
  this->policies.hedges.OnSent(
      this->query.service, this->tally.first_attempts + this->tally.retries);
  this->policies.hedges.OnReplyTimes(this->query.service, this->reply_times);
}

}  // namespace banyanknot::coordination
