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
#include "banyanknot/coordination/query/query_piece.h"
#include "banyanknot/coordination/query/query_policies.h"
#include "banyanknot/coordination/query/shard_map_table.h"
#include "banyanknot/state/answer.h"
#include "banyanknot/state/query_counters.h"

namespace banyanknot::coordination {

/// \brief When a query started and when it must end.
struct QueryTimes {
  state::TimePoint started;
  state::TimePoint answer_by;  ///< attempts end by then, leaving time to answer
  state::TimePoint deadline;   ///< the caller's
};

/// \brief Splits the time that a caller gives.
/// \pre allowed > 0
QueryTimes MakeQueryTimes(state::TimePoint now, state::Duration allowed);

/// \brief The decisions of one query, from its start to its answer.
///
/// A state machine: each event returns what is to be done. The key space is
/// asked for in pieces, one a shard at first; a piece is asked for again, at
/// another replica or as the shards of a newer catalogue entry, until it is
/// answered or nothing is left to try. When no replica of a shard holds the
/// snapshot any more, the query begins a new round on another one and drops
/// all that it had.
///
/// Not thread-safe; its executor hands it one event at a time. Does no I/O.
/// \sa QueryExecutor
class QueryRun {
 public:
  QueryRun(state::RequestId id, state::Query query, ShardMap::Pointer map,
           const QueryTimes& times, ShardMapTable& maps,
           const QueryPolicies& policies);
  QueryRun(const QueryRun&) = delete;
  QueryRun& operator=(const QueryRun&) = delete;

  /// \brief Sends the first attempt at each shard.
  QueryEffects Start(state::TimePoint now);

  /// \brief Takes the result of one attempt.
  ///
  /// A reply counts only if it echoes the request, attempt, shard, snapshot
  /// and range that were asked; any other is counted and dropped.
  QueryEffects OnResult(std::uint32_t attempt, BackendResult result,
                        state::TimePoint now);

  /// \brief Makes the hedges and retries that are due.
  QueryEffects OnWake(state::TimePoint now);

  /// \brief Ends the query with what it has: its deadline or caller is gone.
  QueryEffects Stop(state::TimePoint now);

  /// \brief Tells whether it has ended and every attempt has its result.
  bool IsSettled() const {
    return this->done && this->sender.Attempts().OpenCount() == 0;
  }

  const state::QueryCounts& Tally() const { return this->tally; }
  const QueryTimes& Times() const { return this->times; }

  /// \brief Attempts that servers refused as overloaded.
  std::uint64_t ShedReplies() const { return this->shed_replies; }

 private:
  SendContext ContextAt(state::TimePoint now) const;
  const state::ServiceEntry& Service() const;

  void Plan(const state::KeyRange& range, std::uint8_t attempts_used,
            WorkKind kind, state::TimePoint now, QueryEffects& effects);
  SendResult SendPiece(std::size_t index, WorkKind kind, state::TimePoint now,
                       QueryEffects& effects);
  void ScheduleChecks(QueryPiece& piece, state::TimePoint now);
  void WaitForReplica(QueryPiece& piece, state::TimePoint now);
  void NoteTime(state::TimePoint when);

  void OnReply(const QueryAttempt& attempt, state::SubReply reply,
               state::TimePoint now, QueryEffects& effects);
  state::ReplyVerdict Judge(const QueryAttempt& attempt,
                            const state::SubReply& reply);
  void Merge(std::size_t index, state::SubReply reply, bool is_whole,
             state::TimePoint now, QueryEffects& effects);
  void OnRefused(std::size_t index, const state::SubReply& reply,
                 state::TimePoint now, QueryEffects& effects);
  void OnSnapshotMissing(const QueryAttempt& attempt,
                         const state::SubReply& reply, state::TimePoint now,
                         QueryEffects& effects);
  void NoteProof(const QueryAttempt& attempt, const BackendResult& result);

  void Retry(std::size_t index, state::TimePoint now, QueryEffects& effects);
  void Reroute(std::size_t index, state::TimePoint now, QueryEffects& effects);
  bool PlanAgainIfRemapped(std::size_t index, state::TimePoint now,
                           QueryEffects& effects);
  void PlanRest(std::size_t index, WorkKind kind, state::TimePoint now,
                QueryEffects& effects);
  void TryAgainLater(std::size_t index, state::TimePoint now);
  void Resume(std::size_t index, state::TimePoint now, QueryEffects& effects);
  void Hedge(std::size_t index, state::TimePoint now, QueryEffects& effects);
  void OnAttemptTimeout(std::size_t index, state::TimePoint now,
                        QueryEffects& effects);
  void BeginNewRound(std::size_t index, state::TimePoint now,
                     QueryEffects& effects);

  void MarkDone(QueryPiece& piece, QueryEffects& effects);
  void MarkExhausted(QueryPiece& piece);
  void CancelOpen(const QueryPiece& piece, QueryEffects& effects);
  void CancelAll(QueryEffects& effects);

  void Conclude(state::TimePoint now, QueryEffects& effects);
  bool IsOver(state::TimePoint now) const;
  void Finish(state::TimePoint now, QueryEffects& effects);
  bool IsGivingUp() const;
  bool MayHaveRun() const;
  void ReportTimes(state::TimePoint now);

  const state::RequestId id;
  const state::Query query;
  std::vector<ShardMap::Pointer> used_maps;  // first to latest; kept alive
  const QueryTimes times;
  const CoverageRule rule;
  ShardMapTable& maps;
  QueryPolicies policies;
  AttemptSender sender;
  AnswerMerger merger;

  std::uint32_t round = 0;
  std::uint64_t snapshot = kSnapshotOfFirstReply;
  std::vector<std::uint64_t> tried_snapshots;
  std::vector<SnapshotEvidence> evidence;
  std::optional<state::Duration> hedge_delay;

  std::vector<QueryPiece> pieces;  // of this round
  std::size_t pieces_open = 0;
  std::size_t pieces_exhausted = 0;
  state::TimePoint next_check = kNever;
  state::TimePoint scheduled_check = kNever;

  std::vector<state::Duration> reply_times;
  state::QueryCounts tally;
  std::uint64_t shed_replies = 0;
  std::uint64_t rejected_replies = 0;
  std::uint64_t unproven_results = 0;  // results that do not prove not run
  bool done = false;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_QUERY_RUN_H_
