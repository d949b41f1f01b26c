#include <algorithm>
#include <utility>

#include "banyanknot/coordination/query/query_run.h"
#include "banyanknot/coordination/query/reply_matcher.h"

namespace banyanknot::coordination {
namespace {

constexpr std::size_t kMaxSnapshotsPerQuery = 4;
constexpr state::Duration kCatalogueRetryDelay = state::Milliseconds(20);

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
    ++this->counts.Of(state::ReplyVerdict::kDuplicate);
    return effects;
  }
  this->sender.Attempts().Close(*found);
  const QueryAttempt attempt = std::move(*found);
  this->policies.gate.Release(attempt.permit, result);
  this->RecordPossibleRun(attempt, result);
  if (this->done || attempt.round != this->round) {
    ++this->counts.Of(state::ReplyVerdict::kLate);
    return effects;
  }
  --this->tasks[attempt.task].open_count;
  if (state::IsOk(result)) {
    this->OnReply(attempt, state::TakeValue(std::move(result)), now, effects);
  } else {
    ++this->counts.Of(state::ReplyVerdict::kNoReply);
    this->Retry(attempt.task, now, effects);
  }
  this->FinishOrScheduleTimer(now, effects);
  return effects;
}

void QueryRun::RecordPossibleRun(const QueryAttempt& attempt,
                                 const BackendResult& result) {
  if (!state::IsOk(result)) {
    if (!IsProvenNotRun(state::ErrorOf(result))) ++this->possibly_run_results;
    return;
  }
  const state::SubReply& reply = state::ValueOf(result);
  const bool is_reply = IsReplyTo(ExpectedOf(this->id, attempt), reply);
  if (is_reply && IsProvenNotRun(reply.status)) return;
  ++this->possibly_run_results;
  if (is_reply && reply.status == state::ReplyStatus::kFailed) {
    ++this->rejected_replies;
  }
}

state::ReplyVerdict QueryRun::ClassifyReply(const QueryAttempt& attempt,
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
  const state::ReplyVerdict verdict = this->ClassifyReply(attempt, reply);
  switch (verdict) {
    case state::ReplyVerdict::kMerged:
    case state::ReplyVerdict::kPartial:
      this->reply_times.push_back(now - attempt.sent_at);
      this->Merge(attempt.task, std::move(reply),
                  verdict == state::ReplyVerdict::kMerged, now, effects);
      return;
    case state::ReplyVerdict::kRefused:
      ++this->counts.Of(verdict);
      if (reply.status == state::ReplyStatus::kSnapshotMissing) {
        this->OnSnapshotMissing(attempt, reply, now, effects);
      } else {
        this->OnRefused(attempt.task, reply, now, effects);
      }
      return;
    case state::ReplyVerdict::kWrongSnapshot:
      ++this->counts.Of(verdict);
      this->OnSnapshotMissing(attempt, reply, now, effects);
      return;
    case state::ReplyVerdict::kLate:
    case state::ReplyVerdict::kDuplicate:
    case state::ReplyVerdict::kMismatched:
    case state::ReplyVerdict::kWrongRange:
    case state::ReplyVerdict::kBadRecords:
    case state::ReplyVerdict::kNoReply:
      ++this->counts.Of(verdict);
      this->Retry(attempt.task, now, effects);
      return;
  }
}

void QueryRun::Merge(std::size_t index, state::SubReply reply, bool is_whole,
                     state::TimePoint now, QueryEffects& effects) {
  const bool is_new =
      this->merger.Merge(reply.covered, std::move(reply.records));
  if (!is_new) {
    ++this->counts.Of(state::ReplyVerdict::kDuplicate);
  } else {
    ++this->counts.Of(is_whole ? state::ReplyVerdict::kMerged
                               : state::ReplyVerdict::kPartial);
  }
  ShardTask& task = this->tasks[index];
  if (is_whole || this->merger.MissingFrom(task.range).empty()) {
    this->MarkDone(task, effects);
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
      this->tasks[index].awaits_catalogue = true;
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
  ShardTask& task = this->tasks[attempt.task];
  const state::ServerReport& report = reply.report;
  const bool was_pinned = attempt.snapshot != kSnapshotOfFirstReply;
  if (!was_pinned && IsInReport(this->snapshot, report)) {
    task.tried = 0;  // was not asked for this snapshot and may hold it
  } else if (report.newest_snapshot > 0) {
    this->observations.push_back(
        {attempt.server->id, report.oldest_snapshot, report.newest_snapshot});
  }
  if (task.open_count > 0) return;
  if (this->CannotSucceed()) {
    this->MarkExhausted(task);
    return;
  }
  const SendResult result =
      this->SendAttempt(attempt.task, WorkKind::kRetry, now, effects);
  if (result == SendResult::kNoReplica) {
    this->BeginNewRound(attempt.task, now, effects);
  }
}

void QueryRun::BeginNewRound(std::size_t index, state::TimePoint now,
                             QueryEffects& effects) {
  this->tried_snapshots.push_back(this->snapshot);
  const state::Result<ShardMap::Pointer, ShardMapError> map =
      this->maps.Find(this->query.service);
  const ShardMap::Pointer& latest =
      state::IsOk(map) ? state::ValueOf(map) : this->used_maps.back();
  const std::uint64_t next = this->policies.snapshots.ChooseNext(
      *latest, this->observations, this->tried_snapshots);
  const bool may_begin = next != kSnapshotOfFirstReply &&
                         this->tried_snapshots.size() < kMaxSnapshotsPerQuery &&
                         now < this->times.attempt_deadline;
  if (!may_begin) {
    this->MarkExhausted(this->tasks[index]);
    return;
  }
  this->CancelAll(effects);
  ++this->round;
  ++this->counts.snapshot_changes;
  this->snapshot = next;
  this->merger.Clear();
  this->tasks.clear();
  this->open_tasks = 0;
  this->exhausted_tasks = 0;
  if (latest != this->used_maps.back()) this->used_maps.push_back(latest);
  this->AddTasks(this->Service().key_space, 0, WorkKind::kFirst, now, effects);
}

void QueryRun::Retry(std::size_t index, state::TimePoint now,
                     QueryEffects& effects) {
  ShardTask& task = this->tasks[index];
  if (task.task_state != ShardTaskState::kOpen || task.open_count > 0) return;
  if (this->CannotSucceed() ||
      !this->policies.retries.TryAcquire(this->Service())) {
    this->MarkExhausted(task);
    return;
  }
  task.has_retry_budget = true;
  this->Reroute(index, now, effects);
}

void QueryRun::Reroute(std::size_t index, state::TimePoint now,
                       QueryEffects& effects) {
  this->tasks[index].retry_at = kNever;
  if (this->tasks[index].task_state != ShardTaskState::kOpen) return;
  if (this->tasks[index].open_count > 0) return;
  if (this->CannotSucceed()) {
    this->MarkExhausted(this->tasks[index]);
    return;
  }
  if (this->ReplaceTaskIfChanged(index, now, effects)) return;
  const bool is_first = this->tasks[index].attempt_count == 0;
  const SendResult result = this->SendAttempt(
      index, is_first ? WorkKind::kFirst : WorkKind::kRetry, now, effects);
  if (result == SendResult::kNoReplica) this->RetryLaterOrExhaust(index, now);
}

bool QueryRun::ReplaceTaskIfChanged(std::size_t index, state::TimePoint now,
                                    QueryEffects& effects) {
  const state::Result<ShardMap::Pointer, ShardMapError> map =
      this->maps.Find(this->query.service);
  const bool has_new_map =
      state::IsOk(map) && state::ValueOf(map).get() != this->tasks[index].map;
  if (has_new_map && state::ValueOf(map) != this->used_maps.back()) {
    this->used_maps.push_back(state::ValueOf(map));
  }
  const std::vector<state::KeyRange> missing =
      this->merger.MissingFrom(this->tasks[index].range);
  const bool is_whole =
      missing.size() == 1 && missing.front() == this->tasks[index].range;
  if (!has_new_map && is_whole) return false;
  // No attempt was made at the shards of the new map, so these are first
  // attempts.
  this->ReplaceTask(index, has_new_map ? WorkKind::kFirst : WorkKind::kRetry,
                    now, effects);
  return true;
}

void QueryRun::ReplaceTask(std::size_t index, WorkKind kind,
                           state::TimePoint now, QueryEffects& effects) {
  const state::KeyRange range = this->tasks[index].range;
  const std::uint8_t used = this->tasks[index].attempt_count;
  this->MarkDone(this->tasks[index], effects);
  for (const state::KeyRange& missing : this->merger.MissingFrom(range)) {
    this->AddTasks(missing, used, kind, now, effects);
  }
}

void QueryRun::RetryLaterOrExhaust(std::size_t index, state::TimePoint now) {
  ShardTask& task = this->tasks[index];
  const bool has_time =
      now + kCatalogueRetryDelay < this->times.attempt_deadline;
  if (task.awaits_catalogue && has_time) {
    task.retry_at = now + kCatalogueRetryDelay;
    this->ScheduleTimer(task.retry_at);
    return;
  }
  const bool may_repeat = task.has_retry_budget && task.tried != 0 &&
                          task.attempt_count < kMaxAttemptsPerTask;
  if (!may_repeat || now >= this->times.attempt_deadline) {
    this->MarkExhausted(task);
    return;
  }
  task.tried = 0;
  this->ScheduleBackoff(task, now);
}

}  // namespace banyanknot::coordination
