#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "coordination/query_harness.h"

namespace banyanknot::coordination::testing {
namespace {

using state::Outcome;
using state::SubRequest;

constexpr state::Duration kDelay = state::Milliseconds(5);

BackendResult Serve(const SubRequest& request) {
  return MakeValidReply(request, 5);
}

TEST_CASE("A slow attempt is hedged at another replica, then cancelled") {
  FixedHedgePolicy hedging(kDelay);
  QueryHarness harness(1, &hedging);
  Publish(harness.catalogue, MakeService(2, 2), 1);
  harness.StartQuery(harness.MakeQuery());
  const ManualBackend::Call slow = harness.backend.TakeFirst();
  harness.backend.AnswerAll(Serve);
  CHECK(harness.answers.empty());
  harness.timers.RunFor(kDelay);
  REQUIRE(harness.backend.pending.size() == 1);
  const SubRequest hedge = harness.backend.pending.front().request;
  CHECK(hedge.shard == slow.request.shard);
  CHECK(hedge.server != slow.request.server);
  harness.backend.AnswerAll(Serve);
  REQUIRE(harness.answers.size() == 1);
  CHECK(harness.answers.front().outcome == Outcome::kOk);
  REQUIRE(harness.backend.cancelled.size() == 1);
  CHECK(harness.backend.cancelled.front().attempt == slow.request.attempt);
  slow.handler(BackendFailure::kCancelled);
  CHECK(harness.gate.acquired == harness.gate.released);
  CHECK(harness.executor.InFlight() == 0);
  CHECK(hedging.sent == 2);
  CHECK(hedging.times.size() == 3);
}

TEST_CASE("A hedge needs budget and another replica that is warm") {
  struct Row {
    std::string reason;
    std::uint32_t replicas;
    std::size_t budget;
    bool is_cold;
  };
  const std::vector<Row> rows = {
      {"no other replica", 1, 10, false},
      {"budget spent", 2, 0, false},
      {"all replicas are cold", 2, 10, true},
  };
  for (const Row& row : rows) {
    INFO(row.reason);
    FixedHedgePolicy hedging(kDelay);
    hedging.allowed = row.budget;
    QueryHarness harness(1, &hedging);
    const state::ServiceEntry service = MakeService(1, row.replicas);
    Publish(harness.catalogue, service, 1);
    if (row.is_cold) {
      for (const state::ServerEntry& server : service.servers) {
        harness.gate.cold.insert(server.id);
      }
    }
    harness.StartQuery(harness.MakeQuery());
    harness.timers.RunFor(2 * kDelay);
    CHECK(harness.backend.sent.size() == 1);
  }
}

TEST_CASE("The hedge budget bounds hedges to a share of sub-requests") {
  state::CatalogueTable catalogue;
  QuantileHedgePolicy policy(catalogue);
  const state::ServiceId service("s");
  constexpr int kQueries = 10'000;
  constexpr std::size_t kFanOut = 20;
  int granted = 0;
  for (int query = 0; query < kQueries; ++query) {
    policy.RecordSent(service, kFanOut);
    while (policy.TryAcquire(service)) ++granted;
  }
  CHECK(granted <= 0.04 * kQueries * kFanOut);
  CHECK(granted >= 0.039 * kQueries * kFanOut);
}

TEST_CASE("The hedge delay follows the quantile of reply times") {
  state::CatalogueTable catalogue;
  QuantileHedgePolicy policy(catalogue);
  const state::ServiceId service("s");
  CHECK_FALSE(policy.DelayOf(service));
  for (int round = 0; round < 100; ++round) {
    std::vector<state::Duration> times(99, state::Milliseconds(10));
    times.push_back(state::Milliseconds(100));
    policy.RecordReplyTimes(service, times);
  }
  REQUIRE(policy.DelayOf(service));
  CHECK(*policy.DelayOf(service) >= state::Milliseconds(10));
  CHECK(*policy.DelayOf(service) <= state::Milliseconds(12));
}

TEST_CASE("ReplyTimeHistogram quantiles are off by at most an eighth") {
  for (const std::int64_t microseconds : {3, 50, 999, 70'000, 4'000'000}) {
    INFO(microseconds);
    const state::Duration time = std::chrono::microseconds(microseconds);
    ReplyTimeHistogram histogram;
    CHECK_FALSE(histogram.Quantile(0.5));
    for (int count = 0; count < 100; ++count) histogram.Add(time);
    REQUIRE(histogram.Quantile(0.5));
    CHECK(*histogram.Quantile(0.5) >= time);
    CHECK(*histogram.Quantile(0.5) <=
          time + time / 8 + std::chrono::microseconds(2));
  }
}

TEST_CASE("The retry budget bounds retries to a share of successes") {
  state::CatalogueTable catalogue;
  BudgetRetryPolicy policy(catalogue);
  const state::ServiceEntry service = MakeService(3, 2);
  int granted = 0;
  while (policy.TryAcquire(service)) ++granted;
  CHECK(granted == 10);
  for (int round = 0; round < 1'000; ++round) {
    policy.RecordSuccesses(service, 10);
    while (policy.TryAcquire(service)) ++granted;
  }
  CHECK(granted >= 1'000);
  CHECK(granted <= 1'010);
}

TEST_CASE("An attempt past its timeout is retried while it is still open") {
  QueryHarness harness;
  Publish(harness.catalogue, MakeService(1, 2), 1);
  harness.StartQuery(harness.MakeQuery(state::Milliseconds(100)));
  harness.timers.RunFor(state::Milliseconds(60));
  REQUIRE(harness.backend.pending.size() == 2);
  CHECK(harness.backend.pending[0].request.server !=
        harness.backend.pending[1].request.server);
}

}  // namespace
}  // namespace banyanknot::coordination::testing
