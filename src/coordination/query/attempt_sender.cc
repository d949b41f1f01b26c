#include "banyanknot/coordination/query/attempt_sender.h"

#include <algorithm>
#include <utility>

namespace banyanknot::coordination {
namespace {

constexpr std::size_t kMaxReplicas = 64;  // width of ShardTask::tried

constexpr bool IsTransient(GateRefusal refusal) {
  return refusal == GateRefusal::kBusy || refusal == GateRefusal::kColdBusy ||
         refusal == GateRefusal::kViewSuspect;
}

std::size_t ReplicaCount(const ShardTask& task) {
  return std::min(task.shard->replicas.size(), kMaxReplicas);
}

std::uint64_t BitOf(const ShardTask& task, const state::ServerEntry* server) {
  for (std::size_t index = 0; index < ReplicaCount(task); ++index) {
    if (task.shard->replicas[index] == server) {
      return std::uint64_t{1} << index;
    }
  }
  return 0;
}

}  // namespace

AttemptSender::AttemptSender(state::RequestId id, const state::Query& query,
                             state::TimePoint attempt_deadline,
                             ReplicaSelector& selector, ServerGate& gate)
    : id(id),
      query(query),
      attempt_deadline(attempt_deadline),
      selector(selector),
      gate(gate) {}

bool AttemptSender::HasUntriedReplica(const ShardTask& task) {
  for (std::size_t index = 0; index < ReplicaCount(task); ++index) {
    if ((task.tried >> index & 1) == 0) return true;
  }
  return false;
}

void AttemptSender::CollectUntriedReplicas(const ShardTask& task) {
  this->candidates.clear();
  for (std::size_t index = 0; index < ReplicaCount(task); ++index) {
    if ((task.tried >> index & 1) == 0) {
      this->candidates.push_back(task.shard->replicas[index]);
    }
  }
}

SendResult AttemptSender::Send(ShardTask& task, std::size_t index,
                               WorkKind kind, const SendContext& context,
                               QueryEffects& effects) {
  if (context.now >= this->attempt_deadline) return SendResult::kNoReplica;
  if (task.attempt_count == kMaxAttemptsPerTask) return SendResult::kNoReplica;
  this->CollectUntriedReplicas(task);
  this->selector.Rank(this->candidates);
  bool has_transient_refusal = false;
  for (const state::ServerEntry* server : this->candidates) {
    PermitResult permit = this->gate.Acquire(*server, kind);
    if (state::IsOk(permit)) {
      this->Open(task, index, *server, state::TakeValue(std::move(permit)),
                 context, effects);
      return SendResult::kSent;
    }
    has_transient_refusal =
        has_transient_refusal || IsTransient(state::ErrorOf(permit));
  }
  return has_transient_refusal ? SendResult::kRetryLater
                               : SendResult::kNoReplica;
}

void AttemptSender::Open(ShardTask& task, std::size_t index,
                         const state::ServerEntry& server, ServerPermit permit,
                         const SendContext& context, QueryEffects& effects) {
  QueryAttempt attempt;
  attempt.round = context.round;
  attempt.task = index;
  attempt.shard = task.shard;
  attempt.server = &server;
  attempt.range = task.range;
  attempt.snapshot = context.snapshot;
  attempt.permit = std::move(permit);
  attempt.sent_at = context.now;
  const QueryAttempt& opened = this->attempts.Open(std::move(attempt));
  task.tried |= BitOf(task, &server);
  task.attempts[task.attempt_count++] = opened.id;
  ++task.open_count;
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
  request.deadline = this->attempt_deadline;
  request.send_before =
      std::min(attempt.permit.valid_until, this->attempt_deadline);
  return request;
}

}  // namespace banyanknot::coordination
