#include <algorithm>
#include <utility>

#include "banyanknot/coordination/query/query_run.h"
#include "banyanknot/coordination/query/reply_matcher.h"

namespace banyanknot::coordination {
namespace {

constexpr std::size_t kMaxSnapshotsPerQuery = 4;
constexpr state::Duration kCatalogueWait = state::Milliseconds(20);

ExpectedReply ExpectedOf(const state::RequestId& id,
                         const QueryAttempt& attempt) {
  return {id, attempt.id, attempt.shard->id, attempt.snapshot, attempt.range};
}

bool IsInReport(std::uint64_t snapshot, const state::ServerReport& report) {
  return snapshot >= report.oldest_snapshot &&
         snapshot <= report.newest_snapshot;
}

}  // namespace

QueryEffects QueryRun::OnResult(std::uint32_t attempt_id, BackendResult result,
                                state::TimePoint now) {
  QueryEffects effects;
  QueryAttempt* found = this->sender.Attempts().FindOpen(attempt_id);
  if (found == nullptr) {
    ++this->tally.Of(state::ReplyVerdict::kDuplicate);
    return effects;
  }
  this->sender.Attempts().Close(*found);
  const QueryAttempt attempt = std::move(*found);
  this->policies.gate.Release(attempt.permit, result);
  this->NoteProof(attempt, result);
  if (this->done || attempt.round != this->round) {
    ++this->tally.Of(state::ReplyVerdict::kLate);
    return effects;
  }
  --this->pieces[attempt.piece].open_count;
  if (state::IsOk(result)) {
    this->OnReply(attempt, state::TakeValue(std::move(result)), now, effects);
  } else {
    ++this->tally.Of(state::ReplyVerdict::kNoReply);
    this->Retry(attempt.piece, now, effects);
  }
  this->Conclude(now, effects);
  return effects;
}

void QueryRun::NoteProof(const QueryAttempt& attempt,
                         const BackendResult& result) {
  if (!state::IsOk(result)) {
    if (!IsProvenNotRun(state::ErrorOf(result))) ++this->unproven_results;
    return;
  }
  const state::SubReply& reply = state::ValueOf(result);
  const bool is_reply = IsReplyTo(ExpectedOf(this->id, attempt), reply);
  if (is_reply && IsProvenNotRun(reply.status)) return;
  ++this->unproven_results;
  if (is_reply && reply.status == state::ReplyStatus::kFailed) {
    ++this->rejected_replies;
  }
}

state::ReplyVerdict QueryRun::Judge(const QueryAttempt& attempt,
                                    const state::SubReply& reply) {
  const state::ReplyVerdict verdict =
      MatchReply(ExpectedOf(this->id, attempt), reply);
  const bool is_good = verdict == state::ReplyVerdict::kMerged ||
                       verdict == state::ReplyVerdict::kPartial;
  if (!is_good) return verdict;
  if (this->snapshot == kSnapshotOfFirstReply) this->snapshot = reply.snapshot;
  return reply.snapshot == this->snapshot ? verdict
                                          : state::ReplyVerdict::kWrongSnapshot;
}

void QueryRun::OnReply(const QueryAttempt& attempt, state::SubReply reply,
                       state::TimePoint now, QueryEffects& effects) {
  const state::ReplyVerdict verdict = this->Judge(attempt, reply);
  switch (verdict) {
    case state::ReplyVerdict::kMerged:
    case state::ReplyVerdict::kPartial:
      this->reply_times.push_back(now - attempt.sent_at);
      this->Merge(attempt.piece, std::move(reply),
                  verdict == state::ReplyVerdict::kMerged, now, effects);
      return;
    case state::ReplyVerdict::kRefused:
      ++this->tally.Of(verdict);
      if (reply.status == state::ReplyStatus::kSnapshotMissing) {
        this->OnSnapshotMissing(attempt, reply, now, effects);
      } else {
        this->OnRefused(attempt.piece, reply, now, effects);
      }
      return;
    case state::ReplyVerdict::kWrongSnapshot:
      ++this->tally.Of(verdict);
      this->OnSnapshotMissing(attempt, reply, now, effects);
      return;
    case state::ReplyVerdict::kLate:
    case state::ReplyVerdict::kDuplicate:
    case state::ReplyVerdict::kMismatched:
    case state::ReplyVerdict::kWrongRange:
    case state::ReplyVerdict::kBadRecords:
    case state::ReplyVerdict::kNoReply:
      ++this->tally.Of(verdict);
      this->Retry(attempt.piece, now, effects);
      return;
  }
}

void QueryRun::Merge(std::size_t index, state::SubReply reply, bool is_whole,
                     state::TimePoint now, QueryEffects& effects) {
  const bool is_new =
      this->merger.Merge(reply.covered, std::move(reply.records));
  if (!is_new) {
    ++this->tally.Of(state::ReplyVerdict::kDuplicate);
  } else {
    ++this->tally.Of(is_whole ? state::ReplyVerdict::kMerged
                              : state::ReplyVerdict::kPartial);
  }
  QueryPiece& piece = this->pieces[index];
  if (is_whole || this->merger.MissingFrom(piece.range).empty()) {
    this->MarkDone(piece, effects);
  } else {
    this->Retry(index, now, effects);
  }
}

void QueryRun::OnRefused(std::size_t index, const state::SubReply& reply,
                         state::TimePoint now, QueryEffects& effects) {
  switch (reply.status) {
    case state::ReplyStatus::kDraining:
      this->Reroute(index, now, effects);
      return;
    case state::ReplyStatus::kWrongShard:
      this->pieces[index].awaits_catalogue = true;
      this->Reroute(index, now, effects);
      return;
    case state::ReplyStatus::kShed:
      ++this->shed_replies;
      this->Retry(index, now, effects);
      return;
    case state::ReplyStatus::kOk:
    case state::ReplyStatus::kSnapshotMissing:
    case state::ReplyStatus::kDeadline:
    case state::ReplyStatus::kCancelled:
    case state::ReplyStatus::kFailed:
      this->Retry(index, now, effects);
      return;
  }
}

void QueryRun::OnSnapshotMissing(const QueryAttempt& attempt,
                                 const state::SubReply& reply,
                                 state::TimePoint now, QueryEffects& effects) {
  QueryPiece& piece = this->pieces[attempt.piece];
  const state::ServerReport& report = reply.report;
  const bool was_pinned = attempt.snapshot != kSnapshotOfFirstReply;
  if (!was_pinned && IsInReport(this->snapshot, report)) {
    piece.tried = 0;  // may hold it: was not asked for this snapshot
  } else if (report.newest_snapshot > 0) {
    this->evidence.push_back(
        {attempt.server->id, report.oldest_snapshot, report.newest_snapshot});
  }
  if (piece.open_count > 0) return;
  if (this->IsGivingUp()) {
    this->MarkExhausted(piece);
    return;
  }
  const SendResult result =
      this->SendPiece(attempt.piece, WorkKind::kRetry, now, effects);
  if (result == SendResult::kNone) {
    this->BeginNewRound(attempt.piece, now, effects);
  }
}

void QueryRun::BeginNewRound(std::size_t index, state::TimePoint now,
                             QueryEffects& effects) {
  this->tried_snapshots.push_back(this->snapshot);
  const state::Result<ShardMap::Pointer, ShardMapFault> map =
      this->maps.Find(this->query.service);
  const ShardMap::Pointer& latest =
      state::IsOk(map) ? state::ValueOf(map) : this->used_maps.back();
  const std::uint64_t next = this->policies.snapshots.ChooseNext(
      *latest, this->evidence, this->tried_snapshots);
  const bool may_begin = next != kSnapshotOfFirstReply &&
                         this->tried_snapshots.size() < kMaxSnapshotsPerQuery &&
                         now < this->times.answer_by;
  if (!may_begin) {
    this->MarkExhausted(this->pieces[index]);
    return;
  }
  this->CancelAll(effects);
  ++this->round;
  ++this->tally.snapshot_changes;
  this->snapshot = next;
  this->merger.Clear();
  this->pieces.clear();
  this->pieces_open = 0;
  this->pieces_exhausted = 0;
  if (latest != this->used_maps.back()) this->used_maps.push_back(latest);
  this->Plan(this->Service().key_space, 0, WorkKind::kFirst, now, effects);
}

void QueryRun::Retry(std::size_t index, state::TimePoint now,
                     QueryEffects& effects) {
  QueryPiece& piece = this->pieces[index];
  if (piece.piece_state != PieceState::kOpen || piece.open_count > 0) return;
  if (this->IsGivingUp() || !this->policies.retries.TryTake(this->Service())) {
    this->MarkExhausted(piece);
    return;
  }
  piece.has_retry_budget = true;
  this->Reroute(index, now, effects);
}

void QueryRun::Reroute(std::size_t index, state::TimePoint now,
                       QueryEffects& effects) {
  this->pieces[index].retry_at = kNever;
  if (this->pieces[index].piece_state != PieceState::kOpen) return;
  if (this->pieces[index].open_count > 0) return;
  if (this->IsGivingUp()) {
    this->MarkExhausted(this->pieces[index]);
    return;
  }
  if (this->PlanAgainIfRemapped(index, now, effects)) return;
  const bool is_first = this->pieces[index].attempt_count == 0;
  const SendResult result = this->SendPiece(
      index, is_first ? WorkKind::kFirst : WorkKind::kRetry, now, effects);
  if (result == SendResult::kNone) this->TryAgainLater(index, now);
}

bool QueryRun::PlanAgainIfRemapped(std::size_t index, state::TimePoint now,
                                   QueryEffects& effects) {
  const state::Result<ShardMap::Pointer, ShardMapFault> map =
      this->maps.Find(this->query.service);
  const bool is_remapped =
      state::IsOk(map) && state::ValueOf(map).get() != this->pieces[index].map;
  if (is_remapped && state::ValueOf(map) != this->used_maps.back()) {
    this->used_maps.push_back(state::ValueOf(map));
  }
  const std::vector<state::KeyRange> missing =
      this->merger.MissingFrom(this->pieces[index].range);
  const bool is_whole =
      missing.size() == 1 && missing.front() == this->pieces[index].range;
  if (!is_remapped && is_whole) return false;
  // Shards of another map were not asked yet, so these are first attempts.
  this->PlanRest(index, is_remapped ? WorkKind::kFirst : WorkKind::kRetry, now,
                 effects);
  return true;
}

void QueryRun::PlanRest(std::size_t index, WorkKind kind, state::TimePoint now,
                        QueryEffects& effects) {
  const state::KeyRange range = this->pieces[index].range;
  const std::uint8_t used = this->pieces[index].attempt_count;
  this->MarkDone(this->pieces[index], effects);
  for (const state::KeyRange& missing : this->merger.MissingFrom(range)) {
    this->Plan(missing, used, kind, now, effects);
  }
}

void QueryRun::TryAgainLater(std::size_t index, state::TimePoint now) {
  QueryPiece& piece = this->pieces[index];
  const bool has_time = now + kCatalogueWait < this->times.answer_by;
  if (piece.awaits_catalogue && has_time) {
    piece.retry_at = now + kCatalogueWait;
    this->NoteTime(piece.retry_at);
    return;
  }
  const bool may_repeat = piece.has_retry_budget && piece.tried != 0 &&
                          piece.attempt_count < kMaxAttemptsPerPiece;
  if (!may_repeat || now >= this->times.answer_by) {
    this->MarkExhausted(piece);
    return;
  }
  piece.tried = 0;
  this->WaitForReplica(piece, now);
}

}  // namespace banyanknot::coordination
