#ifndef BANYANKNOT_COORDINATION_QUERY_QUERY_RUN_H_
#define BANYANKNOT_COORDINATION_QUERY_QUERY_RUN_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "banyanknot/coordination/backend_client.h"
#include "banyanknot/coordination/query/answer_merger.h"
#include "banyanknot/coordination/query/attempt_sender.h"
#include "banyanknot/coordination/query/coverage_rule.h"
#include "banyanknot/coordination/query/query_effects.h"
#include "banyanknot/coordination/query/query_policies.h"
#include "banyanknot/coordination/query/shard_map_table.h"
#include "banyanknot/coordination/query/shard_task.h"
#include "banyanknot/state/answer.h"
#include "banyanknot/state/query_counters.h"

namespace banyanknot::coordination {

/// \brief Start and deadlines of a query.
struct QueryTimes {
  state::TimePoint started;
  state::TimePoint attempt_deadline;  ///< before `deadline`, to answer in time
  state::TimePoint deadline;          ///< of the caller
};

/// \brief Reserves part of the caller's timeout for merging and answering.
/// \pre allowed > 0
QueryTimes MakeQueryTimes(state::TimePoint now, state::Duration allowed);

/// \brief State machine of one scatter-gather query.
///
/// Each event returns the actions to perform. The key space is split into
/// tasks, initially one per shard. A task is retried at other replicas, or
/// split anew by the shards of a newer catalogue entry, until it is answered or
/// no further attempt is possible. When no replica of a shard holds the
/// snapshot any more, the query discards its replies and starts a new round on
/// another snapshot.
///
/// Not thread-safe; its executor passes it one event at a time. Does no I/O.
/// \sa QueryExecutor
class QueryRun {
 public:
  QueryRun(state::RequestId id, state::Query query, ShardMap::Pointer map,
           const QueryTimes& times, ShardMapTable& maps,
           const QueryPolicies& policies);
  QueryRun(const QueryRun&) = delete;
  QueryRun& operator=(const QueryRun&) = delete;

  /// \brief Sends the first attempt to each shard.
  QueryEffects Start(state::TimePoint now);

  /// \brief Handles the result of one attempt.
  ///
  /// A reply is merged only if it echoes the request, attempt, shard and
  /// snapshot and lies within the requested range; any other is counted and
  /// discarded.
  QueryEffects OnResult(std::uint32_t attempt, BackendResult result,
                        state::TimePoint now);

  /// \brief Sends the hedges and retries that are due.
  QueryEffects OnTimer(state::TimePoint now);

  /// \brief Ends the query with the records merged so far.
  ///
  /// Called at its deadline, or when its caller has disconnected.
  QueryEffects Stop(state::TimePoint now);

  /// \brief Tells whether it has answered and every attempt has its result.
  bool IsComplete() const {
    return this->done && this->sender.Attempts().OpenCount() == 0;
  }

  const state::QueryCounts& Counts() const { return this->counts; }
  const QueryTimes& Times() const { return this->times; }

  /// \brief Returns the number of replies that refused as overloaded.
  std::uint64_t ShedReplies() const { return this->shed_replies; }

 private:
  SendContext MakeSendContext(state::TimePoint now) const;
  const state::ServiceEntry& Service() const;

  void AddTasks(const state::KeyRange& range, std::uint8_t attempts_used,
                WorkKind kind, state::TimePoint now, QueryEffects& effects);
  SendResult SendAttempt(std::size_t index, WorkKind kind, state::TimePoint now,
                         QueryEffects& effects);
  void SetAttemptTimers(ShardTask& task, state::TimePoint now);
  void ScheduleBackoff(ShardTask& task, state::TimePoint now);
  void ScheduleTimer(state::TimePoint when);

  void OnReply(const QueryAttempt& attempt, state::SubReply reply,
               state::TimePoint now, QueryEffects& effects);
  state::ReplyVerdict ClassifyReply(const QueryAttempt& attempt,
                                    const state::SubReply& reply);
  void Merge(std::size_t index, state::SubReply reply, bool is_whole,
             state::TimePoint now, QueryEffects& effects);
  void OnRefused(std::size_t index, const state::SubReply& reply,
                 state::TimePoint now, QueryEffects& effects);
  void OnSnapshotMissing(const QueryAttempt& attempt,
                         const state::SubReply& reply, state::TimePoint now,
                         QueryEffects& effects);
  void RecordPossibleRun(const QueryAttempt& attempt,
                         const BackendResult& result);

  void Retry(std::size_t index, state::TimePoint now, QueryEffects& effects);
  void Reroute(std::size_t index, state::TimePoint now, QueryEffects& effects);
  bool ReplaceTaskIfChanged(std::size_t index, state::TimePoint now,
                            QueryEffects& effects);
  void ReplaceTask(std::size_t index, WorkKind kind, state::TimePoint now,
                   QueryEffects& effects);
  void RetryLaterOrExhaust(std::size_t index, state::TimePoint now);
  void OnTaskTimer(std::size_t index, state::TimePoint now,
                   QueryEffects& effects);
  void Hedge(std::size_t index, state::TimePoint now, QueryEffects& effects);
  void OnAttemptTimeout(std::size_t index, state::TimePoint now,
                        QueryEffects& effects);
  void BeginNewRound(std::size_t index, state::TimePoint now,
                     QueryEffects& effects);

  void MarkDone(ShardTask& task, QueryEffects& effects);
  void MarkExhausted(ShardTask& task);
  void CancelOpen(const ShardTask& task, QueryEffects& effects);
  void CancelAll(QueryEffects& effects);

  void FinishOrScheduleTimer(state::TimePoint now, QueryEffects& effects);
  bool ShouldFinish(state::TimePoint now) const;
  void Finish(state::TimePoint now, QueryEffects& effects);
  bool CannotSucceed() const;
  bool MayHaveRun() const;
  void ReportStatistics(state::TimePoint now);

  const state::RequestId id;
  const state::Query query;
  std::vector<ShardMap::Pointer> used_maps;  // oldest first; kept alive
  const QueryTimes times;
  const CoverageRule coverage_rule;
  ShardMapTable& maps;
  QueryPolicies policies;
  AttemptSender sender;
  AnswerMerger merger;

  std::uint32_t round = 0;
  std::uint64_t snapshot = kSnapshotOfFirstReply;
  std::vector<std::uint64_t> tried_snapshots;
  std::vector<SnapshotObservation> observations;
  std::optional<state::Duration> hedge_delay;

  std::vector<ShardTask> tasks;  // of this round
  std::size_t open_tasks = 0;
  std::size_t exhausted_tasks = 0;
  state::TimePoint next_timer_at = kNever;
  state::TimePoint scheduled_timer_at = kNever;

  std::vector<state::Duration> reply_times;
  state::QueryCounts counts;
  std::uint64_t shed_replies = 0;
  std::uint64_t rejected_replies = 0;
  std::uint64_t possibly_run_results = 0;  // not proven not to have run
  bool done = false;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_QUERY_RUN_H_
