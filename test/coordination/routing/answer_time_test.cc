#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <utility>

#include "coordination/routing/relay_fixture.h"

// When a gather must be ended so that its answer reaches the caller in time.
namespace banyanknot::coordination::routing_testing {
namespace {

state::RelayRequest Request(std::optional<state::Duration> outside_time) {
  state::RelayRequest request;
  request.deadline = Milliseconds(400);
  request.outside_time = outside_time;
  return request;
}

TEST_CASE("The outside time follows the caller's connection") {
  const state::Duration unknown = RelayDeadlines::OutsideTime({});
  CHECK(unknown == RelayDeadlines::kDefaultOutsideTime);
  // A kept connection takes one round trip, a new one another for its setup.
  CHECK(RelayDeadlines::OutsideTime({Milliseconds(6), false}) ==
        Milliseconds(6));
  CHECK(RelayDeadlines::OutsideTime({Milliseconds(6), true}) ==
        Milliseconds(12));
  CHECK(RelayDeadlines::OutsideTime({Milliseconds(2), true}) ==
        Milliseconds(4));
  // One inflated by retransmissions leaves time for the servers.
  CHECK(RelayDeadlines::OutsideTime({Milliseconds(3'000), true}) <=
        Milliseconds(40));
}

TEST_CASE("The soft deadline reserves the outside time and the host's own") {
  const state::Route route = RelayFixture::GatherRoute(8, 0.5);  // 150 ms
  const RelayDeadlines near =
      RelayDeadlines::Of(Request(Milliseconds(4)), route, Milliseconds(3));
  CHECK(near.soft.time_since_epoch() == Milliseconds(143));
  const RelayDeadlines far =
      RelayDeadlines::Of(Request(Milliseconds(12)), route, Milliseconds(10));
  CHECK(far.soft.time_since_epoch() == Milliseconds(128));
  // At least half of the objective is left for the servers.
  const RelayDeadlines slow =
      RelayDeadlines::Of(Request(Milliseconds(90)), route, Milliseconds(15));
  CHECK(slow.soft.time_since_epoch() == Milliseconds(75));
}

TEST_CASE("The learned delay covers nine answers in ten") {
  std::mt19937 engine(11);
  for (const int spread_ms : {2, 5, 9}) {
    LearnedAnswerDelay delay;
    int covered = 0;
    constexpr int kWarmUp = 300;
    constexpr int kMeasured = 2'000;
    for (int index = 0; index < kWarmUp + kMeasured; ++index) {
      const state::Duration lateness =
          std::chrono::microseconds(engine() % (spread_ms * 1'000));
      if (index >= kWarmUp && lateness <= delay.AnswerDelay()) ++covered;
      delay.RecordLateness(lateness);
    }
    INFO(spread_ms);
    CHECK(covered >= kMeasured * 85 / 100);
  }
}

TEST_CASE("One long pause doesn't make a host give up its gathers early") {
  LearnedAnswerDelay delay;
  const state::Duration before = delay.AnswerDelay();
  delay.RecordLateness(Milliseconds(5'000));
  CHECK(delay.AnswerDelay() <= before + Milliseconds(1));
  for (int index = 0; index < 1'000; ++index) {
    delay.RecordLateness(Milliseconds(100));
  }
  CHECK(delay.AnswerDelay() <= Milliseconds(20));
}

TEST_CASE("A gather that waits for the soft deadline is ended by it") {
  for (const int outside_ms : {2, 12, 30}) {
    RelayFixture fixture;
    fixture.PutRoutes({RelayFixture::GatherRoute(8, 0.5)});
    fixture.PutShardServers(8, 1);
    fixture.client.script = [](const RelaySend& send) {
      const bool is_slow = send.server.Text() == "shard0-0";
      return Reaction{Milliseconds(is_slow ? 700 : 10), GoodReply(send, "")};
    };
    state::RelayRequest request;
    request.id = "r";
    request.method = "GET";
    request.host = "h.example";
    request.target = "/gather/1";
    request.deadline = Milliseconds(800);
    request.received_at = fixture.time.Now();
    request.outside_time = Milliseconds(outside_ms);
    std::optional<state::Duration> after;
    fixture.executor.Run(std::move(request), [&](const RelayAnswer& answer) {
      CHECK(answer.outcome == state::RelayOutcome::kPartial);
      after = fixture.time.Now() - state::TimePoint(Milliseconds(1'000'000));
    });
    fixture.time.Advance(Milliseconds(1'000));
    REQUIRE(after);
    CHECK(*after == Milliseconds(150 - 6 - outside_ms));
  }
}

}  // namespace
}  // namespace banyanknot::coordination::routing_testing
