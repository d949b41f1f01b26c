#include "banyanknot/coordination/query_run.h"

#include <algorithm>
#include <string>
#include <utility>

#include "banyanknot/state/util/assert.h"

namespace banyanknot::coordination {

QueryRun::QueryRun(state::RequestId id, state::Query query,
                   std::shared_ptr<const state::ServiceEntry> service,
                   state::TimePoint deadline, ReplicaSelector& selector,
                   ServerGate& gate)
    : id(id),
      query(std::move(query)),
      service(std::move(service)),
      deadline(deadline),
      selector(selector),
      gate(gate) {
  BANYANKNOT_ASSERT(!this->service->shards.empty(),
                    "only accepted service entries, which have shards, run");
}

QueryEffects QueryRun::Start() {
  QueryEffects effects;
  for (const state::ShardEntry& shard : this->service->shards) {
    this->SendToShard(shard, WorkKind::kFirst, effects);
  }
  this->FinishIfDone(effects);
  return effects;
}

void QueryRun::SendToShard(const state::ShardEntry& shard, WorkKind kind,
                           QueryEffects& effects) {
  std::vector<const state::ServerEntry*> candidates;
  for (const state::ServerId& replica : shard.replicas) {
    candidates.push_back(this->service->FindServer(replica));
  }
  this->selector.Rank(candidates);
  for (const state::ServerEntry* server : candidates) {
    PermitResult permit = this->gate.Acquire(*server, kind);
    if (!state::IsOk(permit)) continue;
    state::SubRequest request;
    request.request = this->id;
    request.attempt = this->next_attempt++;
    request.service = this->service->id;
    request.shard = shard.id;
    request.snapshot = this->snapshot;
    request.range = shard.range;
    request.server = server->id;
    request.endpoint = server->endpoint;
    request.ask = this->query.ask;
    request.deadline = this->deadline;
    request.send_before = state::ValueOf(permit).valid_until;
    this->open[request.attempt] = {request, state::ValueOf(permit)};
    effects.send.push_back(std::move(request));
    this->any_sent = true;
    return;
  }
}

QueryEffects QueryRun::OnResult(std::uint32_t attempt,
                                const BackendResult& result) {
  QueryEffects effects;
  const auto found = this->open.find(attempt);
  if (found == this->open.end()) return effects;
  const Attempt finished = std::move(found->second);
  this->open.erase(found);
  this->gate.Release(finished.permit, result);
  if (this->done) return effects;
  if (state::IsOk(result) &&
      this->Matches(finished.request, state::ValueOf(result))) {
    this->Merge(state::ValueOf(result));
  }
  this->FinishIfDone(effects);
  return effects;
}

bool QueryRun::Matches(const state::SubRequest& sent,
                       const state::SubReply& reply) const {
  return reply.request == sent.request && reply.attempt == sent.attempt &&
         reply.shard == sent.shard && sent.range.Contains(reply.covered) &&
         reply.status == state::ReplyStatus::kOk;
}

void QueryRun::Merge(const state::SubReply& reply) {
  if (this->snapshot == 0) this->snapshot = reply.snapshot;
  if (reply.snapshot != this->snapshot) return;
  const std::vector<state::KeyRange> added =
      this->covered.Insert(reply.covered);
  for (const state::Record& record : reply.records) {
    for (const state::KeyRange& range : added) {
      if (range.Contains(record.key)) this->records.push_back(record);
    }
  }
}

void QueryRun::FinishIfDone(QueryEffects& effects) {
  if (this->covered.Covers(this->service->key_space)) {
    this->Finish(effects, state::Outcome::kOk, "");
  } else if (this->open.empty()) {
    this->Finish(effects,
                 this->any_sent ? state::Outcome::kCoverageShort
                                : state::Outcome::kNotRun,
                 "no replica is left to ask");
  }
}

QueryEffects QueryRun::OnDeadline() {
  QueryEffects effects;
  if (!this->done) {
    this->Finish(effects, state::Outcome::kDeadline, "deadline passed");
  }
  return effects;
}

void QueryRun::Finish(QueryEffects& effects, state::Outcome outcome,
                      const std::string& reason) {
  this->done = true;
  for (const auto& [attempt, open_attempt] : this->open) {
    effects.cancel.push_back(open_attempt.request);
  }
  state::Answer answer;
  answer.request = this->id;
  answer.service = this->service->id;
  answer.outcome = outcome;
  answer.reason = reason;
  answer.snapshot = this->snapshot;
  answer.coverage = static_cast<double>(this->covered.Size()) /
                    static_cast<double>(this->service->key_space.Size());
  answer.missing = this->covered.MissingFrom(this->service->key_space);
  answer.records = std::move(this->records);
  std::sort(answer.records.begin(), answer.records.end(),
            [](const state::Record& left, const state::Record& right) {
              return left.key < right.key;
            });
  effects.answer = std::move(answer);
}

}  // namespace banyanknot::coordination
