#ifndef BANYANKNOT_COORDINATION_QUERY_ATTEMPT_SENDER_H_
#define BANYANKNOT_COORDINATION_QUERY_ATTEMPT_SENDER_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "banyanknot/coordination/query/attempt_table.h"
#include "banyanknot/coordination/query/query_effects.h"
#include "banyanknot/coordination/query/query_piece.h"
#include "banyanknot/coordination/replica_selector.h"
#include "banyanknot/coordination/server_gate.h"
#include "banyanknot/state/answer.h"
#include "banyanknot/state/request_id.h"

namespace banyanknot::coordination {

/// \brief What came of trying to send an attempt.
enum class SendResult {
  kSent,
  kWait,  ///< a replica could take it, but not now
  kNone,  ///< no replica is left that could take it
};

/// \brief What the attempts of one moment have in common.
struct SendContext {
  std::uint32_t round = 0;
  std::uint64_t snapshot = 0;
  state::TimePoint now;
};

/// \brief Picks a replica for each attempt of one query and sends it there.
///
/// Not thread-safe; it belongs to one query.
class AttemptSender {
 public:
  /// \param send_by no attempt starts or goes on after this
  AttemptSender(state::RequestId id, const state::Query& query,
                state::TimePoint send_by, ReplicaSelector& selector,
                ServerGate& gate);

  /// \brief Sends one attempt at a piece to a replica that it has not tried.
  SendResult Send(QueryPiece& piece, std::size_t index, WorkKind kind,
                  const SendContext& context, QueryEffects& effects);

  /// \brief The message of an attempt.
  state::SubRequest MakeRequest(const QueryAttempt& attempt) const;

  /// \brief Tells whether a replica is left that the piece has not tried.
  static bool HasUntried(const QueryPiece& piece);

  AttemptTable& Attempts() { return this->attempts; }
  const AttemptTable& Attempts() const { return this->attempts; }

 private:
  void CollectUntried(const QueryPiece& piece);
  void Open(QueryPiece& piece, std::size_t index,
            const state::ServerEntry& server, ServerPermit permit,
            const SendContext& context, QueryEffects& effects);

  const state::RequestId id;
  const state::Query& query;
  const state::TimePoint send_by;
  ReplicaSelector& selector;
  ServerGate& gate;
  AttemptTable attempts;
  std::vector<const state::ServerEntry*> candidates;  // kept for its storage
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_ATTEMPT_SENDER_H_
