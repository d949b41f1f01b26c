#ifndef BANYANKNOT_COORDINATION_QUERY_ATTEMPT_SENDER_H_
#define BANYANKNOT_COORDINATION_QUERY_ATTEMPT_SENDER_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "banyanknot/coordination/query/attempt_table.h"
#include "banyanknot/coordination/query/query_effects.h"
#include "banyanknot/coordination/query/shard_task.h"
#include "banyanknot/coordination/replica_selector.h"
#include "banyanknot/coordination/server_gate.h"
#include "banyanknot/state/answer.h"
#include "banyanknot/state/request_id.h"

namespace banyanknot::coordination {

/// \brief Result of AttemptSender::Send().
enum class SendResult {
  kSent,
  kRetryLater,  ///< no replica takes it now, but one may later
  kNoReplica,   ///< no untried replica, attempt or time is left
};

/// \brief State of the query that a new attempt is sent with.
struct SendContext {
  std::uint32_t round = 0;
  std::uint64_t snapshot = 0;
  state::TimePoint now;
};

/// \brief Selects a replica for each attempt of one query and opens it.
///
/// The request is added to the effects; the executor sends it. Not thread-safe;
/// owned by one query.
class AttemptSender {
 public:
  /// \param attempt_deadline no attempt starts or stays open after this
  AttemptSender(state::RequestId id, const state::Query& query,
                state::TimePoint attempt_deadline, ReplicaSelector& selector,
                ServerGate& gate);

  /// \brief Opens one attempt of a task at the best replica that it has not
  /// tried and that the gate permits.
  /// \param index of the task in the current round
  SendResult Send(ShardTask& task, std::size_t index, WorkKind kind,
                  const SendContext& context, QueryEffects& effects);

  /// \brief Returns the sub-request of an attempt.
  state::SubRequest MakeRequest(const QueryAttempt& attempt) const;

  /// \brief Tells whether the task has a replica that it has not tried.
  static bool HasUntriedReplica(const ShardTask& task);

  AttemptTable& Attempts() { return this->attempts; }
  const AttemptTable& Attempts() const { return this->attempts; }

 private:
  void CollectUntriedReplicas(const ShardTask& task);
  void Open(ShardTask& task, std::size_t index,
            const state::ServerEntry& server, ServerPermit permit,
            const SendContext& context, QueryEffects& effects);

  const state::RequestId id;
  const state::Query& query;
  const state::TimePoint attempt_deadline;
  ReplicaSelector& selector;
  ServerGate& gate;
  AttemptTable attempts;
  std::vector<const state::ServerEntry*> candidates;  // kept for its storage
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_ATTEMPT_SENDER_H_
