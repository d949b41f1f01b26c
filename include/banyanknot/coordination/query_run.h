#ifndef BANYANKNOT_COORDINATION_QUERY_RUN_H_
#define BANYANKNOT_COORDINATION_QUERY_RUN_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "banyanknot/coordination/backend_client.h"
#include "banyanknot/coordination/replica_selector.h"
#include "banyanknot/coordination/server_gate.h"
#include "banyanknot/state/answer.h"
#include "banyanknot/state/catalogue.h"
#include "banyanknot/state/key_range_set.h"
#include "banyanknot/state/request_id.h"
#include "banyanknot/state/sub_request.h"

namespace banyanknot::coordination {

/// \brief What a QueryRun asks its executor to do next.
struct QueryEffects {
  std::vector<state::SubRequest> send;
  std::vector<state::SubRequest> cancel;
  std::optional<state::Answer> answer;  ///< set once, when the query ends
};

/// \brief The decisions of one query, from its start to its answer.
///
/// A state machine: each event returns what is to be done. Not thread-safe;
/// its executor holds it in a sharded table and hands it one event at a time.
/// Does no I/O. \sa QueryExecutor
class QueryRun {
 public:
  /// \pre service has at least one shard
  QueryRun(state::RequestId id, state::Query query,
           std::shared_ptr<const state::ServiceEntry> service,
           state::TimePoint deadline, ReplicaSelector& selector,
           ServerGate& gate);

  /// \brief Sends the first attempt at each shard.
  QueryEffects Start();

  /// \brief Takes the result of one attempt.
  ///
  /// A reply counts only if it echoes the request, attempt, shard, snapshot
  /// and range that were asked; any other is dropped.
  QueryEffects OnResult(std::uint32_t attempt, const BackendResult& result);

  /// \brief Ends the query with what it has.
  QueryEffects OnDeadline();

  /// \brief Tells whether it has ended and every attempt has its result.
  bool IsSettled() const { return this->done && this->open.empty(); }

 private:
  struct Attempt {
    state::SubRequest request;
    ServerPermit permit;
  };

  void SendToShard(const state::ShardEntry& shard, WorkKind kind,
                   QueryEffects& effects);
  bool Matches(const state::SubRequest& sent,
               const state::SubReply& reply) const;
  void Merge(const state::SubReply& reply);
  void FinishIfDone(QueryEffects& effects);
  void Finish(QueryEffects& effects, state::Outcome outcome,
              const std::string& reason);

  const state::RequestId id;
  const state::Query query;
  const std::shared_ptr<const state::ServiceEntry> service;
  const state::TimePoint deadline;
  ReplicaSelector& selector;
  ServerGate& gate;
  std::uint32_t next_attempt = 1;
  std::uint64_t snapshot = 0;
  std::unordered_map<std::uint32_t, Attempt> open;  // by attempt
  state::KeyRangeSet covered;
  std::vector<state::Record> records;
  bool any_sent = false;
  bool done = false;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_RUN_H_
