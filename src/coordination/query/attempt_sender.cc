#include "banyanknot/coordination/query/attempt_sender.h"

#include <algorithm>
#include <utility>

namespace banyanknot::coordination {
namespace {

constexpr std::size_t kMaxReplicas = 64;  // bits of QueryPiece::tried

constexpr bool IsPassing(GateRefusal refusal) {
  return refusal == GateRefusal::kBusy || refusal == GateRefusal::kColdBusy ||
         refusal == GateRefusal::kViewSuspect;
}

std::size_t ReplicaCount(const QueryPiece& piece) {
  return std::min(piece.shard->replicas.size(), kMaxReplicas);
}

std::uint64_t BitOf(const QueryPiece& piece, const state::ServerEntry* server) {
  for (std::size_t index = 0; index < ReplicaCount(piece); ++index) {
    if (piece.shard->replicas[index] == server) {
      return std::uint64_t{1} << index;
    }
  }
  return 0;
}

}  // namespace

AttemptSender::AttemptSender(state::RequestId id, const state::Query& query,
                             state::TimePoint send_by,
                             ReplicaSelector& selector, ServerGate& gate)
    : id(id), query(query), send_by(send_by), selector(selector), gate(gate) {}

bool AttemptSender::HasUntried(const QueryPiece& piece) {
  for (std::size_t index = 0; index < ReplicaCount(piece); ++index) {
    if ((piece.tried >> index & 1) == 0) return true;
  }
  return false;
}

void AttemptSender::CollectUntried(const QueryPiece& piece) {
  this->candidates.clear();
  for (std::size_t index = 0; index < ReplicaCount(piece); ++index) {
    if ((piece.tried >> index & 1) == 0) {
      this->candidates.push_back(piece.shard->replicas[index]);
    }
  }
}

SendResult AttemptSender::Send(QueryPiece& piece, std::size_t index,
                               WorkKind kind, const SendContext& context,
                               QueryEffects& effects) {
  if (context.now >= this->send_by) return SendResult::kNone;
  if (piece.attempt_count == kMaxAttemptsPerPiece) return SendResult::kNone;
  this->CollectUntried(piece);
  this->selector.Rank(this->candidates);
  bool may_pass = false;
  for (const state::ServerEntry* server : this->candidates) {
    PermitResult permit = this->gate.Acquire(*server, kind);
    if (state::IsOk(permit)) {
      this->Open(piece, index, *server, state::TakeValue(std::move(permit)),
                 context, effects);
      return SendResult::kSent;
    }
    may_pass = may_pass || IsPassing(state::ErrorOf(permit));
  }
  return may_pass ? SendResult::kWait : SendResult::kNone;
}

void AttemptSender::Open(QueryPiece& piece, std::size_t index,
                         const state::ServerEntry& server, ServerPermit permit,
                         const SendContext& context, QueryEffects& effects) {
  QueryAttempt attempt;
  attempt.round = context.round;
  attempt.piece = index;
  attempt.shard = piece.shard;
  attempt.server = &server;
  attempt.range = piece.range;
  attempt.snapshot = context.snapshot;
  attempt.permit = std::move(permit);
  attempt.sent_at = context.now;
  const QueryAttempt& opened = this->attempts.Open(std::move(attempt));
  piece.tried |= BitOf(piece, &server);
  piece.attempts[piece.attempt_count++] = opened.id;
  ++piece.open_count;
  effects.send.push_back(this->MakeRequest(opened));
}

state::SubRequest AttemptSender::MakeRequest(
    const QueryAttempt& attempt) const {
  state::SubRequest request;
  request.request = this->id;
  request.attempt = attempt.id;
  request.service = this->query.service;
  request.shard = attempt.shard->id;
  request.snapshot = attempt.snapshot;
  request.range = attempt.range;
  request.server = attempt.server->id;
  request.endpoint = attempt.server->endpoint;
  request.ask = this->query.ask;
  request.deadline = this->send_by;
  request.send_before = std::min(attempt.permit.valid_until, this->send_by);
  return request;
}

}  // namespace banyanknot::coordination
