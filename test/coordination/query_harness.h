#ifndef BANYANKNOT_TEST_COORDINATION_QUERY_HARNESS_H_
#define BANYANKNOT_TEST_COORDINATION_QUERY_HARNESS_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "banyanknot/Coordination"
#include "banyanknot/State"

namespace banyanknot::coordination::testing {

/// \brief Clock that advances only when the test moves it.
class ManualClock : public Clock {
 public:
  state::TimePoint Now() const override { return this->now; }
  void Advance(state::Duration by) { this->now += by; }
  void MoveTo(state::TimePoint when) {
    if (when > this->now) this->now = when;
  }

 private:
  state::TimePoint now{state::Milliseconds(1'000'000)};
};

/// \brief Timers that fire while RunUntil() moves a ManualClock.
class ManualTimers : public TimerService {
 public:
  explicit ManualTimers(ManualClock& clock) : clock(clock) {}

  void RunAt(state::TimePoint when, std::function<void()> function) override {
    this->functions.emplace(when, std::move(function));
  }

  /// \brief Moves the clock to `until` and runs each timer when it is due.
  void RunUntil(state::TimePoint until) {
    while (!this->functions.empty() &&
           this->functions.begin()->first <= until) {
      const auto first = this->functions.begin();
      const std::function<void()> function = std::move(first->second);
      this->clock.MoveTo(first->first);
      this->functions.erase(first);
      function();
    }
    this->clock.MoveTo(until);
  }

  void RunFor(state::Duration span) {
    this->RunUntil(this->clock.Now() + span);
  }

 private:
  ManualClock& clock;
  std::multimap<state::TimePoint, std::function<void()>> functions;
};

/// \brief Backend client that keeps sub-requests pending until the test
/// replies.
class ManualBackend : public BackendClient {
 public:
  struct Call {
    state::SubRequest request;
    BackendHandler handler;
  };

  void Send(const state::SubRequest& request, BackendHandler handler) override {
    this->pending.push_back({request, std::move(handler)});
    this->sent.push_back(request);
  }
  void Cancel(const state::SubRequest& request) override {
    this->cancelled.push_back(request);
  }

  /// \brief Answers all pending calls, including those that the answers cause.
  void AnswerAll(
      const std::function<BackendResult(const state::SubRequest&)>& answer) {
    while (!this->pending.empty()) {
      const Call call = this->TakeFirst();
      call.handler(answer(call.request));
    }
  }

  Call TakeFirst() { return this->Take(0); }
  Call Take(std::size_t index) {
    Call call = std::move(this->pending[index]);
    this->pending.erase(this->pending.begin() +
                        static_cast<std::ptrdiff_t>(index));
    return call;
  }

  std::vector<Call> pending;
  std::vector<state::SubRequest> sent;
  std::vector<state::SubRequest> cancelled;
};

/// \brief Gate that counts permits and refuses the servers in `refusals`.
class CountingGate : public ServerGate {
 public:
  explicit CountingGate(const Clock& clock) : clock(clock) {}

  PermitResult Acquire(const state::ServerEntry& server,
                       WorkKind kind) override {
    const auto refusal = this->refusals.find(server.id);
    if (refusal != this->refusals.end()) return refusal->second;
    const bool is_extra = kind != WorkKind::kFirst;
    if (is_extra && this->cold.count(server.id) > 0) {
      return GateRefusal::kColdExtra;
    }
    ++this->acquired[server.id];
    return ServerPermit{server.id, this->clock.Now(),
                        this->clock.Now() + this->validity, false};
  }
  void Release(const ServerPermit& permit,
               const BackendResult& /*result*/) override {
    ++this->released[permit.server];
  }

  std::map<state::ServerId, GateRefusal> refusals;
  std::set<state::ServerId> cold;
  std::map<state::ServerId, int> acquired;
  std::map<state::ServerId, int> released;
  state::Duration validity = state::Milliseconds(1'000);

 private:
  const Clock& clock;
};

/// \brief Returns the value of the record of `key` in `snapshot`.
inline std::string ValueAt(std::uint64_t key, std::uint64_t snapshot) {
  return std::to_string(key) + "@" + std::to_string(snapshot);
}

/// \brief Returns a valid, whole reply to a sub-request from one snapshot.
inline state::SubReply MakeValidReply(const state::SubRequest& request,
                                      std::uint64_t snapshot) {
  state::SubReply reply;
  reply.request = request.request;
  reply.attempt = request.attempt;
  reply.shard = request.shard;
  reply.snapshot = snapshot;
  reply.covered = request.range;
  reply.status = state::ReplyStatus::kOk;
  reply.report.oldest_snapshot = snapshot;
  reply.report.newest_snapshot = snapshot;
  for (std::uint64_t key = request.range.begin; key < request.range.end;
       ++key) {
    reply.records.push_back({key, ValueAt(key, snapshot)});
  }
  return reply;
}

/// \brief Returns a refusal of a server that holds snapshots [oldest, newest].
inline state::SubReply MakeRefusal(const state::SubRequest& request,
                                   state::ReplyStatus status,
                                   std::uint64_t oldest, std::uint64_t newest) {
  state::SubReply reply = MakeValidReply(request, request.snapshot);
  reply.status = status;
  reply.covered = {};
  reply.records.clear();
  reply.report.oldest_snapshot = oldest;
  reply.report.newest_snapshot = newest;
  return reply;
}

/// \brief Returns a service of `shards` equal shards with `replicas` servers
/// each.
inline state::ServiceEntry MakeService(std::uint32_t shards,
                                       std::uint32_t replicas,
                                       std::uint64_t keys_per_shard = 10) {
  state::ServiceEntry service;
  service.id = state::ServiceId("s");
  service.owner = "team";
  service.key_space = {0, shards * keys_per_shard};
  for (std::uint32_t shard = 0; shard < shards; ++shard) {
    state::ShardEntry entry;
    entry.id = shard;
    entry.range = {shard * keys_per_shard, (shard + 1) * keys_per_shard};
    for (std::uint32_t replica = 0; replica < replicas; ++replica) {
      state::ServerEntry server;
      server.id = state::ServerId("b" + std::to_string(shard) + "-" +
                                  std::to_string(replica));
      server.endpoint = {
          "127.0.0.1", static_cast<std::uint16_t>(1000 + 10 * shard + replica)};
      entry.replicas.push_back(server.id);
      service.servers.push_back(server);
    }
    service.shards.push_back(entry);
  }
  return service;
}

/// \brief Puts a service into the catalogue.
inline void Publish(state::CatalogueTable& catalogue,
                    const state::ServiceEntry& service,
                    std::uint64_t revision) {
  state::CatalogueRecord record;
  record.key = "service/" + service.id.Text();
  record.revision = revision;
  record.content = std::make_shared<const state::CatalogueContent>(service);
  catalogue.Put(record);
}

/// \brief Hedges after a fixed delay, with a budget of `allowed` hedges.
class FixedHedgePolicy : public HedgePolicy {
 public:
  explicit FixedHedgePolicy(state::Duration delay) : delay(delay) {}
  std::optional<state::Duration> DelayOf(
      const state::ServiceId& /*service*/) override {
    return this->delay;
  }
  bool TryAcquire(const state::ServiceId& /*service*/) override {
    if (this->allowed == 0) return false;
    --this->allowed;
    return true;
  }
  void RecordSent(const state::ServiceId& /*service*/,
                  std::size_t count) override {
    this->sent += count;
  }
  void RecordReplyTimes(const state::ServiceId& /*service*/,
                        const std::vector<state::Duration>& times) override {
    this->times = times;
  }

  std::size_t allowed = 1'000;
  std::size_t sent = 0;
  std::vector<state::Duration> times;

 private:
  state::Duration delay;
};

/// \brief A QueryExecutor with production policies and fake I/O, clock and
/// gate.
struct QueryHarness {
  /// \param hedging replaces the production hedge policy unless null
  explicit QueryHarness(std::uint64_t seed = 1, HedgePolicy* hedging = nullptr)
      : timers(clock),
        random(seed),
        gate(clock),
        admission(clock),
        snapshots(clock, servers),
        selector(clock, random, servers),
        hedges(catalogue),
        retries(catalogue),
        executor(7, clock, timers, backend, catalogue,
                 {admission, snapshots, selector, gate,
                  hedging == nullptr ? hedges : *hedging, retries},
                 counters) {}

  /// \brief Starts a query; its answer is appended to `answers`.
  state::RequestId StartQuery(const state::Query& query) {
    return this->executor.Run(query, [this](const state::Answer& answer) {
      this->answers.push_back(answer);
    });
  }

  state::Query MakeQuery(state::Duration deadline = state::Milliseconds(500)) {
    state::Query query;
    query.service = state::ServiceId("s");
    query.deadline = deadline;
    return query;
  }

  ManualClock clock;
  ManualTimers timers;
  ManualBackend backend;
  state::CatalogueTable catalogue;
  state::ServerTable servers;
  state::QueryCounters counters;
  SeededRandomSource random;
  CountingGate gate;
  ClassAdmission admission;
  ReportedSnapshotPolicy snapshots;
  LoadAwareReplicaSelector selector;
  QuantileHedgePolicy hedges;
  BudgetRetryPolicy retries;
  QueryExecutor executor;
  std::vector<state::Answer> answers;
};

}  // namespace banyanknot::coordination::testing

#endif  // BANYANKNOT_TEST_COORDINATION_QUERY_HARNESS_H_
