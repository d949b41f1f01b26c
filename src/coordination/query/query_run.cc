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
constexpr state::Duration kInitialBackoff = state::Milliseconds(1);
constexpr int kMaxBackoffDoublings = 4;
constexpr state::Duration kNotRunRetryAfter = state::Milliseconds(100);

}  // namespace

QueryTimes MakeQueryTimes(state::TimePoint now, state::Duration allowed) {
  BANYANKNOT_ASSERT(allowed.count() > 0,
                    "the timeout of a query must be positive");
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
      coverage_rule(this->used_maps.front()->Service(), this->query),
      maps(maps),
      policies(policies),
      sender(id, this->query, times.attempt_deadline, policies.selector,
             policies.gate) {}

const state::ServiceEntry& QueryRun::Service() const {
  return this->used_maps.front()->Service();
}

SendContext QueryRun::MakeSendContext(state::TimePoint now) const {
  return {this->round, this->snapshot, now};
}

QueryEffects QueryRun::Start(state::TimePoint now) {
  QueryEffects effects;
  const std::size_t shard_count = this->used_maps.front()->Shards().size();
  effects.send.reserve(shard_count);
  this->tasks.reserve(shard_count);
  this->reply_times.reserve(shard_count);
  this->sender.Attempts().Reserve(shard_count + shard_count / 8);
  this->hedge_delay = this->policies.hedges.DelayOf(this->query.service);
  this->snapshot =
      this->policies.snapshots.ChooseFirst(*this->used_maps.front());
  this->AddTasks(this->Service().key_space, 0, WorkKind::kFirst, now, effects);
  if (this->coverage_rule.AllowsPartial()) {
    this->ScheduleTimer(this->times.attempt_deadline);
  }
  this->FinishOrScheduleTimer(now, effects);
  return effects;
}

void QueryRun::AddTasks(const state::KeyRange& range,
                        std::uint8_t attempts_used, WorkKind kind,
                        state::TimePoint now, QueryEffects& effects) {
  const ShardMap& map = *this->used_maps.back();
  for (const MappedShard* shard : map.ShardsOf(range)) {
    ShardTask task;
    task.range = {std::max(range.begin, shard->range.begin),
                  std::min(range.end, shard->range.end)};
    task.map = &map;
    task.shard = shard;
    task.attempt_count = attempts_used;
    this->tasks.push_back(task);
    ++this->open_tasks;
    const std::size_t index = this->tasks.size() - 1;
    const SendResult result =
        this->CannotSucceed() ? SendResult::kNoReplica
                              : this->SendAttempt(index, kind, now, effects);
    if (result == SendResult::kNoReplica) {
      this->MarkExhausted(this->tasks[index]);
    }
  }
}

SendResult QueryRun::SendAttempt(std::size_t index, WorkKind kind,
                                 state::TimePoint now, QueryEffects& effects) {
  ShardTask& task = this->tasks[index];
  const SendResult result =
      this->sender.Send(task, index, kind, this->MakeSendContext(now), effects);
  if (result == SendResult::kRetryLater && kind != WorkKind::kHedge) {
    this->ScheduleBackoff(task, now);
  }
  if (result != SendResult::kSent) return result;
  task.has_retry_budget = false;
  task.retry_at = kNever;
  if (kind == WorkKind::kFirst) ++this->counts.first_attempts;
  if (kind == WorkKind::kHedge) ++this->counts.hedges;
  if (kind == WorkKind::kRetry) ++this->counts.retries;
  if (task.open_count == 1) this->SetAttemptTimers(task, now);
  return result;
}

void QueryRun::SetAttemptTimers(ShardTask& task, state::TimePoint now) {
  state::Duration timeout = (this->times.attempt_deadline - now) / 2;
  task.hedge_at = kNever;
  if (this->hedge_delay) {
    task.hedge_at = now + *this->hedge_delay;
    timeout = std::min(timeout,
                       std::max(kMinAttemptTimeout,
                                *this->hedge_delay * kHedgeDelaysPerTimeout));
  }
  task.timeout_at = now + timeout;
  this->ScheduleTimer(std::min(task.hedge_at, task.timeout_at));
}

void QueryRun::ScheduleBackoff(ShardTask& task, state::TimePoint now) {
  const int doublings = std::min<int>(task.backoff_count, kMaxBackoffDoublings);
  if (task.backoff_count < kMaxBackoffDoublings) ++task.backoff_count;
  task.retry_at = now + kInitialBackoff * (1 << doublings);
  this->ScheduleTimer(task.retry_at);
}

void QueryRun::ScheduleTimer(state::TimePoint when) {
  this->next_timer_at = std::min(this->next_timer_at, when);
}

QueryEffects QueryRun::OnTimer(state::TimePoint now) {
  QueryEffects effects;
  if (this->done) return effects;
  this->scheduled_timer_at = kNever;
  this->next_timer_at = kNever;
  if (this->coverage_rule.AllowsPartial() &&
      now < this->times.attempt_deadline) {
    this->ScheduleTimer(this->times.attempt_deadline);
  }
  for (std::size_t index = 0; index < this->tasks.size(); ++index) {
    this->OnTaskTimer(index, now, effects);
  }
  this->FinishOrScheduleTimer(now, effects);
  return effects;
}

void QueryRun::OnTaskTimer(std::size_t index, state::TimePoint now,
                           QueryEffects& effects) {
  const ShardTask& task = this->tasks[index];
  if (task.task_state != ShardTaskState::kOpen || this->CannotSucceed()) return;
  if (task.retry_at <= now) {
    this->Reroute(index, now, effects);
  } else {
    if (task.hedge_at <= now) this->Hedge(index, now, effects);
    if (task.timeout_at <= now) this->OnAttemptTimeout(index, now, effects);
  }
  // The calls above may have reallocated the tasks.
  const ShardTask& resumed = this->tasks[index];
  if (resumed.task_state != ShardTaskState::kOpen) return;
  this->ScheduleTimer(
      std::min({resumed.retry_at, resumed.hedge_at, resumed.timeout_at}));
}

void QueryRun::Hedge(std::size_t index, state::TimePoint now,
                     QueryEffects& effects) {
  ShardTask& task = this->tasks[index];
  task.hedge_at = kNever;
  if (task.open_count != 1 || !AttemptSender::HasUntriedReplica(task)) return;
  if (!this->policies.hedges.TryAcquire(this->query.service)) {
    task.hedge_at = now + *this->hedge_delay;
    return;
  }
  this->SendAttempt(index, WorkKind::kHedge, now, effects);
}

void QueryRun::OnAttemptTimeout(std::size_t index, state::TimePoint now,
                                QueryEffects& effects) {
  ShardTask& task = this->tasks[index];
  task.timeout_at = kNever;
  if (task.open_count != 1 || !AttemptSender::HasUntriedReplica(task)) return;
  if (!this->policies.retries.TryAcquire(this->Service())) return;
  const SendResult result =
      this->SendAttempt(index, WorkKind::kRetry, now, effects);
  if (result == SendResult::kRetryLater) task.has_retry_budget = true;
}

QueryEffects QueryRun::Stop(state::TimePoint now) {
  QueryEffects effects;
  if (!this->done) this->Finish(now, effects);
  return effects;
}

void QueryRun::MarkDone(ShardTask& task, QueryEffects& effects) {
  if (task.task_state != ShardTaskState::kOpen) return;
  task.task_state = ShardTaskState::kDone;
  --this->open_tasks;
  if (task.open_count > 0) this->CancelOpen(task, effects);
}

void QueryRun::MarkExhausted(ShardTask& task) {
  if (task.task_state != ShardTaskState::kOpen || task.open_count > 0) return;
  task.task_state = ShardTaskState::kExhausted;
  --this->open_tasks;
  ++this->exhausted_tasks;
}

void QueryRun::CancelOpen(const ShardTask& task, QueryEffects& effects) {
  for (std::size_t index = 0; index < task.attempt_count; ++index) {
    const QueryAttempt* attempt =
        this->sender.Attempts().FindOpen(task.attempts[index]);
    if (attempt != nullptr) {
      effects.cancel.push_back(this->sender.MakeRequest(*attempt));
    }
  }
}

void QueryRun::CancelAll(QueryEffects& effects) {
  for (const ShardTask& task : this->tasks) {
    const bool is_cancelled = task.task_state == ShardTaskState::kDone;
    if (!is_cancelled && task.open_count > 0) {
      this->CancelOpen(task, effects);
    }
  }
}

void QueryRun::FinishOrScheduleTimer(state::TimePoint now,
                                     QueryEffects& effects) {
  if (this->done) return;
  if (this->ShouldFinish(now)) {
    this->Finish(now, effects);
  } else if (this->next_timer_at < this->scheduled_timer_at) {
    this->scheduled_timer_at = this->next_timer_at;
    effects.next_timer_at = this->next_timer_at;
  }
}

bool QueryRun::ShouldFinish(state::TimePoint now) const {
  if (this->open_tasks == 0 || now >= this->times.deadline) return true;
  if (this->CannotSucceed()) {
    // As long as no result leaves open whether its sub-request ran, waits for
    // the open attempts: they may prove that nothing ran (kNotRun).
    return this->possibly_run_results > 0 ||
           this->sender.Attempts().OpenCount() == 0;
  }
  if (!this->coverage_rule.AllowsPartial()) return false;
  return now >= this->times.attempt_deadline &&
         this->merger.CoverageOf(this->Service().key_space) >=
             this->coverage_rule.MinCoverage();
}

bool QueryRun::CannotSucceed() const {
  return !this->coverage_rule.AllowsPartial() && this->exhausted_tasks > 0;
}

bool QueryRun::MayHaveRun() const {
  return this->possibly_run_results > 0 ||
         this->sender.Attempts().OpenCount() > 0;
}

void QueryRun::Finish(state::TimePoint now, QueryEffects& effects) {
  this->done = true;
  const state::KeyRange& key_space = this->Service().key_space;
  QueryEndState end_state;
  end_state.coverage = this->merger.CoverageOf(key_space);
  end_state.min_coverage = this->coverage_rule.MinCoverage();
  end_state.may_have_run = this->MayHaveRun();
  end_state.only_rejected =
      this->rejected_replies > 0 &&
      this->rejected_replies == this->possibly_run_results;
  end_state.is_past_deadline = now >= this->times.attempt_deadline;
  state::Answer answer;
  answer.request = this->id;
  answer.service = this->query.service;
  answer.outcome = DetermineOutcome(end_state);
  answer.reason = ReasonOf(answer.outcome, end_state);
  if (answer.outcome == state::Outcome::kNotRun) {
    answer.retry_after = kNotRunRetryAfter;
  }
  if (answer.outcome != state::Outcome::kOk &&
      !this->coverage_rule.ReturnsRecordsBelowMinimum()) {
    this->merger.Clear();
  }
  answer.coverage = this->merger.CoverageOf(key_space);
  if (answer.coverage > 0) answer.snapshot = this->snapshot;
  answer.missing = this->merger.MissingFrom(key_space);
  answer.records = this->merger.TakeRecords();
  ++this->counts.Of(answer.outcome);
  effects.answer = std::move(answer);
  this->CancelAll(effects);
  this->ReportStatistics(now);
}

void QueryRun::ReportStatistics(state::TimePoint now) {
  const std::size_t successes = this->reply_times.size();
  for (const ShardTask& task : this->tasks) {
    for (std::size_t index = 0;
         task.open_count > 0 && index < task.attempt_count; ++index) {
      const QueryAttempt* attempt =
          this->sender.Attempts().FindOpen(task.attempts[index]);
      if (attempt != nullptr) {
        this->reply_times.push_back(now - attempt->sent_at);
      }
    }
  }
  this->policies.retries.RecordSuccesses(this->Service(), successes);
  this->policies.hedges.RecordSent(
      this->query.service, this->counts.first_attempts + this->counts.retries);
  this->policies.hedges.RecordReplyTimes(this->query.service,
                                         this->reply_times);
}

}  // namespace banyanknot::coordination
