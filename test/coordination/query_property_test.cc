#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "coordination/query_harness.h"

namespace banyanknot::coordination::testing {
namespace {

using state::Answer;
using state::Outcome;
using state::ReplyStatus;
using state::SubReply;
using state::SubRequest;

constexpr int kSeeds = 1'500;
constexpr std::uint32_t kReplicas = 2;

/// Simulates servers that advance their snapshots and a network that loses,
/// duplicates, mismatches, truncates and delays replies, all from one seed.
class FaultSimulation {
 public:
  explicit FaultSimulation(std::uint64_t seed)
      : engine(seed),
        hedging(state::Milliseconds(1 + seed % 5)),
        harness(seed, &hedging) {
    this->service = MakeService(this->Draw(1, 6), kReplicas);
    this->service.service_class =
        state::kServiceClassNames[this->Draw(0, 2)].value;
    this->service.limits.min_coverage = this->Draw(0, 4) * 0.25;
    for (const state::ServerEntry& server : this->service.servers) {
      this->oldest[server.id] = 1 + this->Draw(0, 1);
    }
    Publish(this->harness.catalogue, this->service, ++this->revision);
  }

  void Run() {
    const std::uint32_t queries = this->Draw(1, 4);
    for (std::uint32_t query = 0; query < queries; ++query) {
      this->harness.StartQuery(
          this->harness.MakeQuery(state::Milliseconds(100)));
    }
    for (int step = 0; step < 400; ++step) this->Step();
    while (!this->harness.backend.pending.empty()) this->DeliverOne();
    this->harness.timers.RunFor(state::Milliseconds(500));
    while (!this->harness.backend.pending.empty()) this->DeliverOne();
    this->Check(queries);
  }

 private:
  std::uint32_t Draw(std::uint32_t min, std::uint32_t max) {
    return std::uniform_int_distribution<std::uint32_t>(min, max)(this->engine);
  }
  bool WithProbability(std::uint32_t percent) {
    return this->Draw(1, 100) <= percent;
  }

  void Step() {
    if (this->WithProbability(3)) this->AdvanceSnapshots();
    if (this->WithProbability(1)) this->Repartition();
    if (this->WithProbability(30))
      this->harness.timers.RunFor(state::Milliseconds(1));
    if (!this->harness.backend.pending.empty() && this->WithProbability(60)) {
      this->DeliverOne();
    }
  }

  void AdvanceSnapshots() {
    const std::uint32_t index = this->Draw(
        0, static_cast<std::uint32_t>(this->service.servers.size()) - 1);
    this->oldest[this->service.servers[index].id] += 1;
  }

  void Repartition() {
    state::ServiceEntry& entry = this->service;
    const std::uint32_t index =
        this->Draw(0, static_cast<std::uint32_t>(entry.shards.size()) - 1);
    state::ShardEntry& left = entry.shards[index];
    if (left.range.Size() < 2) return;
    state::ShardEntry right = left;
    right.id = 100 + static_cast<std::uint32_t>(this->revision);
    left.id = 200 + static_cast<std::uint32_t>(this->revision);
    const std::uint64_t middle = left.range.begin + left.range.Size() / 2;
    left.range.end = middle;
    right.range.begin = middle;
    entry.shards.insert(entry.shards.begin() + index + 1, right);
    Publish(this->harness.catalogue, entry, ++this->revision);
  }

  bool Holds(const SubRequest& request) const {
    for (const state::ShardEntry& shard : this->service.shards) {
      if (shard.id == request.shard && shard.range.Contains(request.range)) {
        return true;
      }
    }
    return false;
  }

  SubReply Serve(const SubRequest& request) {
    const std::uint64_t from = this->oldest.at(request.server);
    const std::uint64_t to = from + 1;
    if (!this->Holds(request) && this->WithProbability(80)) {
      return MakeRefusal(request, ReplyStatus::kWrongShard, from, to);
    }
    if (this->WithProbability(5)) {
      return MakeRefusal(request, ReplyStatus::kShed, from, to);
    }
    const std::uint64_t snapshot =
        request.snapshot == 0 ? to : request.snapshot;
    if (snapshot < from || snapshot > to) {
      return MakeRefusal(request, ReplyStatus::kSnapshotMissing, from, to);
    }
    this->ran[request.request.sequence] += 1;
    SubReply reply = MakeValidReply(request, snapshot);
    reply.report.oldest_snapshot = from;
    reply.report.newest_snapshot = to;
    if (this->WithProbability(8)) this->TruncateReply(reply);
    if (this->WithProbability(3)) this->CorruptReply(reply, request);
    return reply;
  }

  void TruncateReply(SubReply& reply) {
    if (reply.covered.Size() < 2) return;
    const std::uint64_t cut =
        1 + this->Draw(0, static_cast<std::uint32_t>(reply.covered.Size() - 2));
    reply.covered.end = reply.covered.begin + cut;
    reply.records.resize(cut);
  }

  /// Replaces the reply by one of another snapshot, or duplicates a key.
  void CorruptReply(SubReply& reply, const SubRequest& request) {
    if (this->WithProbability(50)) {
      reply = MakeValidReply(request, reply.snapshot + 1);
    } else {
      reply.records.push_back(reply.records.front());
    }
  }

  void DeliverOne() {
    ManualBackend& backend = this->harness.backend;
    const std::uint32_t index =
        this->Draw(0, static_cast<std::uint32_t>(backend.pending.size()) - 1);
    const ManualBackend::Call call = backend.Take(index);
    if (this->WithProbability(5)) {
      call.handler(BackendFailure::kNotSent);
      return;
    }
    SubReply reply = this->Serve(call.request);
    if (this->WithProbability(5)) {
      call.handler(BackendFailure::kLost);
      return;
    }
    const SubReply intended = reply;
    if (this->last_reply && this->WithProbability(10))
      reply = *this->last_reply;
    call.handler(reply);
    if (this->WithProbability(10)) call.handler(reply);
    this->last_reply = intended;
  }

  void Check(std::uint32_t queries) {
    REQUIRE(this->harness.answers.size() == queries);
    for (const Answer& answer : this->harness.answers) this->CheckOne(answer);
    CHECK(this->harness.gate.acquired == this->harness.gate.released);
    CHECK(this->harness.executor.InFlight() == 0);
  }

  void CheckOne(const Answer& answer) {
    const state::KeyRange key_space = this->service.key_space;
    std::uint64_t expected_keys = 0;
    std::size_t index = 0;
    bool is_exact = true;
    for (std::uint64_t key = key_space.begin; key < key_space.end; ++key) {
      bool is_missing = false;
      for (const state::KeyRange& range : answer.missing) {
        is_missing = is_missing || range.Contains(key);
      }
      if (is_missing) continue;
      ++expected_keys;
      is_exact = is_exact && index < answer.records.size() &&
                 answer.records[index].key == key &&
                 answer.records[index].value == ValueAt(key, answer.snapshot);
      ++index;
    }
    CHECK(is_exact);
    CHECK(answer.records.size() == expected_keys);
    CHECK(std::abs(answer.coverage -
                   static_cast<double>(expected_keys) /
                       static_cast<double>(key_space.Size())) < 1e-9);
    if (answer.outcome == Outcome::kNotRun) {
      CHECK(this->ran[answer.request.sequence] == 0);
    }
    if (answer.outcome == Outcome::kOk) {
      const bool is_whole =
          this->service.service_class == state::ServiceClass::kWhole;
      CHECK(answer.coverage >=
            (is_whole ? 1.0 : this->service.limits.min_coverage));
    }
  }

  std::mt19937_64 engine;
  FixedHedgePolicy hedging;
  QueryHarness harness;
  state::ServiceEntry service;
  std::map<state::ServerId, std::uint64_t> oldest;
  std::map<std::uint64_t, int> ran;  // executions, by request sequence
  std::optional<SubReply> last_reply;
  std::uint64_t revision = 0;
};

TEST_CASE("Answers are consistent whatever happens to replies") {
  for (int seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    FaultSimulation(static_cast<std::uint64_t>(seed)).Run();
  }
}

}  // namespace
}  // namespace banyanknot::coordination::testing
