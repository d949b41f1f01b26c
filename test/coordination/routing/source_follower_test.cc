#include <catch2/catch.hpp>
#include <deque>
#include <string>
#include <vector>

#include "coordination/routing/relay_world.h"

namespace banyanknot::coordination::routing_testing {
namespace {

/// A source whose answers a test queues; with none queued a watch waits and a
/// read finds the source unreachable.
class QueuedSource : public RoutingSource {
 public:
  explicit QueuedSource(fleet_testing::VirtualTime& time) : time(time) {}

  void ReadAll(RoutingBatchHandler handler) override {
    ++this->reads;
    this->Answer(this->read_answers, SourceFailure::kUnreachable,
                 Milliseconds(2), std::move(handler));
  }
  void Watch(std::uint64_t after, state::Duration wait,
             RoutingBatchHandler handler) override {
    this->watched_after.push_back(after);
    this->waits.push_back(wait);
    this->Answer(this->watch_answers, RoutingBatch{{}, after}, wait,
                 std::move(handler));
  }

  using Result = state::Result<RoutingBatch, SourceFailure>;
  std::deque<Result> read_answers;
  std::deque<Result> watch_answers;
  int reads = 0;
  std::vector<std::uint64_t> watched_after;
  std::vector<state::Duration> waits;

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

struct FollowerWorld {
  FollowerWorld() { this->world.PutRoutes({RelayWorld::RelayRoute(true)}); }

  RelayWorld world;
  QueuedSource source{this->world.time};
  SourceFollower follower{
      this->world.time,   this->world.time, this->world.random, this->source,
      this->world.intake, this->world.log,  Milliseconds(4'000)};
};

TEST_CASE("A lost place in the history is followed by a read of everything") {
  FollowerWorld host;
  host.source.read_answers = {
      RoutingBatch{
          {host.world.Server("s1", "desk"), host.world.Server("s2", "desk")},
          10},
      RoutingBatch{{host.world.Server("s2", "desk")}, 20}};
  host.source.watch_answers = {SourceFailure::kHistoryGone};
  host.follower.Start();
  host.world.time.Advance(Milliseconds(1'000));
  CHECK(host.source.reads == 2);
  REQUIRE(host.source.watched_after.size() == 2);
  CHECK(host.source.watched_after[0] == 10);
  CHECK(host.source.watched_after[1] == 20);
}

TEST_CASE("A silent source is noticed within the contact time") {
  FollowerWorld host;
  host.source.read_answers = {RoutingBatch{{}, 10}};
  host.follower.Start();
  host.world.time.Advance(Milliseconds(100));
  REQUIRE(host.source.waits.size() == 1);
  CHECK(host.source.waits[0] <= Milliseconds(4'000 - 1'000));
}

TEST_CASE("What is known stays in force while the source is away") {
  FollowerWorld host;
  host.source.read_answers = {
      RoutingBatch{{host.world.Server("s1", "desk")}, 10}};
  host.source.watch_answers = {SourceFailure::kRefused, SourceFailure::kSilent,
                               SourceFailure::kUnreachable,
                               SourceFailure::kMalformed};
  host.follower.Start();
  host.world.time.Advance(Milliseconds(3'000));
  CHECK(host.source.reads == 1);
  CHECK(host.world.Run("/relay/1").answer.outcome ==
        state::RelayOutcome::kAnswered);
  CHECK(host.world.log.Count(EventCode::kSourceLost) == 1);
  CHECK(host.world.log.Count(EventCode::kSourceRegained) == 1);
}

TEST_CASE("Removals right after the source returned wait; later ones don't") {
  for (const bool was_away : {true, false}) {
    FollowerWorld host;
    host.source.read_answers = {
        RoutingBatch{{host.world.Server("s1", "desk")}, 10}};
    if (was_away) host.source.watch_answers = {SourceFailure::kUnreachable};
    host.source.watch_answers.emplace_back(
        RoutingBatch{{ServerRemoval{state::InstanceId("s1")}}, 11});
    host.follower.Start();
    host.world.time.Advance(Milliseconds(300));
    CHECK(host.world.servers.IsEmpty() != was_away);
    host.world.time.Advance(Milliseconds(3'000));
    CHECK(host.world.servers.IsEmpty());
  }
}

TEST_CASE("Calls to a source that is away are spaced, not in step") {
  std::vector<int> reads;
  for (const std::uint64_t seed : {1, 2, 3}) {
    RelayWorld world;
    QueuedSource source(world.time);
    SeededRandomSource random(seed);
    SourceFollower follower(world.time, world.time, random, source,
                            world.intake, world.log, Milliseconds(4'000));
    follower.Start();
    world.time.Advance(Milliseconds(10'000));
    CHECK(source.reads <= 60);
    CHECK(source.reads >= 15);
  }
}

}  // namespace
}  // namespace banyanknot::coordination::routing_testing
