#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "coordination/routing/relay_fixture.h"

namespace banyanknot::coordination::routing_testing {
namespace {

/// A source with queued responses. Without one, a watch returns no changes
/// after its wait and a read fails as unreachable.
class QueuedSource : public RoutingSource {
 public:
  explicit QueuedSource(fleet_testing::VirtualTime& time) : time(time) {}

  void ReadAll(RoutingBatchHandler handler) override {
    ++this->reads;
    this->Answer(this->read_answers, SourceFailure::kUnreachable,
                 Milliseconds(2), std::move(handler));
  }
  void Watch(const state::SourcePosition& after, state::Duration wait,
             RoutingBatchHandler handler) override {
    this->watched_after.push_back(after.revision);
    this->waits.push_back(wait);
    this->watched_at.push_back(this->time.Now());
    this->Answer(this->watch_answers, RoutingBatch{{}, after}, wait,
                 std::move(handler));
  }

  using Result = state::Result<RoutingBatch, SourceFailure>;
  std::deque<Result> read_answers;
  std::deque<Result> watch_answers;
  int reads = 0;
  std::vector<std::uint64_t> watched_after;
  std::vector<state::Duration> waits;
  std::vector<state::TimePoint> watched_at;

 private:
  void Answer(std::deque<Result>& answers, Result fallback,
              state::Duration fallback_after, RoutingBatchHandler handler) {
    state::Duration after = fallback_after;
    Result result = std::move(fallback);
    if (!answers.empty()) {
      after = Milliseconds(2);
      result = std::move(answers.front());
      answers.pop_front();
    }
    this->time.RunAt(this->time.Now() + after,
                     [result = std::move(result),
                      handler = std::move(handler)] { handler(result); });
  }

  fleet_testing::VirtualTime& time;
};

struct FollowerFixture {
  FollowerFixture() {
    this->fixture.PutRoutes({RelayFixture::RelayRoute(true)});
  }

  RelayFixture fixture;
  QueuedSource source{this->fixture.time};
  SourceFollower follower{this->fixture.time,   this->fixture.time,
                          this->fixture.random, this->source,
                          this->fixture.intake, this->fixture.log,
                          Milliseconds(4'000)};
};

TEST_CASE("A compacted revision leads to a new snapshot read") {
  FollowerFixture host;
  host.source.read_answers = {
      RoutingBatch{{host.fixture.Server("s1", "desk"),
                    host.fixture.Server("s2", "desk")},
                   10},
      RoutingBatch{{host.fixture.Server("s2", "desk")}, 20}};
  host.source.watch_answers = {SourceFailure::kHistoryGone};
  host.follower.Start();
  host.fixture.time.Advance(Milliseconds(1'000));
  CHECK(host.source.reads == 2);
  REQUIRE(host.source.watched_after.size() == 2);
  CHECK(host.source.watched_after[0] == 10);
  CHECK(host.source.watched_after[1] == 20);
}

TEST_CASE("A change of the source's era is logged and counted") {
  FollowerFixture host;
  host.source.read_answers = {RoutingBatch{{}, {10, 1}}};
  host.source.watch_answers = {RoutingBatch{{}, {12, 1}},
                               SourceFailure::kHistoryGone};
  host.source.read_answers.emplace_back(RoutingBatch{{}, {7, 2}});
  host.follower.Start();
  host.fixture.time.Advance(Milliseconds(1'000));
  CHECK(host.fixture.log.Count(EventCode::kSourceEraChanged) == 1);
  std::vector<MetricSample> samples;
  host.follower.CollectMetrics(samples);
  std::map<std::string, double> values;
  for (const MetricSample& sample : samples) values[sample.name] = sample.value;
  CHECK(values["banyanknot_relay_source_era"] == 2);
  CHECK(values["banyanknot_relay_source_revision"] == 7);
  CHECK(values["banyanknot_relay_source_era_changes_total"] == 1);
}

// Guards against waiting for changes beyond a revision that the source has
// given out again.
TEST_CASE("A source that returned from a copy is read anew") {
  FollowerFixture host;
  host.source.read_answers = {RoutingBatch{{}, {10, 1}},
                              RoutingBatch{{}, {7, 2}}};
  host.source.watch_answers = {SourceFailure::kEraChanged};
  host.follower.Start();
  host.fixture.time.Advance(Milliseconds(1'000));
  CHECK(host.source.reads == 2);
  CHECK(host.source.watched_after == std::vector<std::uint64_t>{10, 7});
}

// Guards against asking again and again for more changes than one response may
// hold.
TEST_CASE("Changes too large for one response lead to a snapshot read") {
  FollowerFixture host;
  host.source.read_answers = {RoutingBatch{{}, 10}, RoutingBatch{{}, 70}};
  host.source.watch_answers = {SourceFailure::kTooLarge};
  host.follower.Start();
  host.fixture.time.Advance(Milliseconds(1'000));
  CHECK(host.source.reads == 2);
  CHECK(host.source.watched_after == std::vector<std::uint64_t>{10, 70});
}

TEST_CASE("An unresponsive source is detected within the contact timeout") {
  FollowerFixture host;
  host.source.read_answers = {RoutingBatch{{}, 10}};
  host.follower.Start();
  host.fixture.time.Advance(Milliseconds(100));
  REQUIRE(host.source.waits.size() == 1);
  CHECK(host.source.waits[0] <= Milliseconds(4'000 - 1'000));
}

// Guards against a connection that falls silent between two watches being
// noticed later than one that falls silent during a watch.
TEST_CASE("A watch that follows changes ends as soon as any other") {
  FollowerFixture host;
  host.source.read_answers = {RoutingBatch{{}, 10}};
  host.source.watch_answers = {
      RoutingBatch{{host.fixture.Server("s1", "desk")}, 11}};
  host.follower.Start();
  host.fixture.time.Advance(Milliseconds(100));
  const state::TimePoint changed_at = host.fixture.time.Now();
  host.fixture.time.Advance(Milliseconds(1'000));
  REQUIRE(host.source.waits.size() == 2);
  const state::Duration delay = host.source.watched_at[1] - changed_at;
  CHECK(delay + host.source.waits[1] <= host.source.waits[0]);
}

TEST_CASE(
    "Known routes and servers stay in force during an outage of the source") {
  FollowerFixture host;
  host.source.read_answers = {
      RoutingBatch{{host.fixture.Server("s1", "desk")}, 10}};
  host.source.watch_answers = {SourceFailure::kRefused, SourceFailure::kSilent,
                               SourceFailure::kUnreachable,
                               SourceFailure::kMalformed};
  host.follower.Start();
  host.fixture.time.Advance(Milliseconds(3'000));
  CHECK(host.source.reads == 1);
  CHECK(host.fixture.Run("/relay/1").answer.outcome ==
        state::RelayOutcome::kAnswered);
  CHECK(host.fixture.log.Count(EventCode::kSourceLost) == 1);
  CHECK(host.fixture.log.Count(EventCode::kSourceRegained) == 1);
}

TEST_CASE("Removals are deferred only right after an outage of the source") {
  for (const bool had_outage : {true, false}) {
    FollowerFixture host;
    host.source.read_answers = {
        RoutingBatch{{host.fixture.Server("s1", "desk")}, 10}};
    if (had_outage) host.source.watch_answers = {SourceFailure::kUnreachable};
    host.source.watch_answers.emplace_back(
        RoutingBatch{{ServerRemoval{state::InstanceId("s1")}}, 11});
    host.follower.Start();
    host.fixture.time.Advance(Milliseconds(300));
    CHECK(host.fixture.servers.IsEmpty() != had_outage);
    host.fixture.time.Advance(Milliseconds(3'000));
    CHECK(host.fixture.servers.IsEmpty());
  }
}

TEST_CASE("Calls to an unreachable source are spaced") {
  std::vector<int> reads;
  for (const std::uint64_t seed : {1, 2, 3}) {
    RelayFixture fixture;
    QueuedSource source(fixture.time);
    SeededRandomSource random(seed);
    SourceFollower follower(fixture.time, fixture.time, random, source,
                            fixture.intake, fixture.log, Milliseconds(4'000));
    follower.Start();
    fixture.time.Advance(Milliseconds(10'000));
    CHECK(source.reads <= 60);
    CHECK(source.reads >= 15);
  }
}

}  // namespace
}  // namespace banyanknot::coordination::routing_testing
