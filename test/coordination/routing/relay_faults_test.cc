#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "coordination/routing/relay_world.h"

namespace banyanknot::coordination::routing_testing {
namespace {

using state::RelayOutcome;

/// One row: what the servers do, and what the caller must get.
struct Row {
  const char* name;
  bool is_idempotent;
  std::size_t max_attempts;
  std::vector<Reaction> reactions;  // in order of the requests to servers
  RelayOutcome outcome;
  unsigned status;       // of a server's reply; 0 for an answer of our own
  std::size_t arrivals;  // at most
};

Reaction Reply(RelayReply reply) {
  return {Milliseconds(10), std::move(reply)};
}
Reaction Failure(RelayFailure failure) { return {Milliseconds(10), failure}; }

RelayReply OtherRequest() {
  RelayReply reply = FailureReply(200, "s");
  reply.is_other_request = true;
  return reply;
}

RelayReply Encoded() {
  RelayReply reply = FailureReply(200, "s");
  reply.is_encoded = true;
  return reply;
}

TEST_CASE("A relayed request ends truly whatever servers do") {
  const Reaction good = Reply(FailureReply(200, "signature"));
  const Reaction lost = Failure(RelayFailure::kLost);
  const Reaction unsent = Failure(RelayFailure::kNotSent);
  const Reaction shed = Reply(ShedReply());
  const std::vector<Row> rows = {
      {"good", false, 2, {good}, RelayOutcome::kAnswered, 200, 1},
      {"unsafe, lost", false, 2, {lost, good}, RelayOutcome::kFailed, 0, 1},
      {"unsafe, silent",
       false,
       2,
       {Failure(RelayFailure::kTimeout), good},
       RelayOutcome::kFailed,
       0,
       1},
      {"unsafe, 500",
       false,
       2,
       {Reply(FailureReply(500, "x")), good},
       RelayOutcome::kAnswered,
       500,
       1},
      {"unsafe, unsigned 500",
       false,
       2,
       {Reply(FailureReply(500, "")), good},
       RelayOutcome::kFailed,
       0,
       1},
      {"unsafe, shed once",
       false,
       2,
       {shed, good},
       RelayOutcome::kAnswered,
       200,
       2},
      {"unsafe, shed always",
       false,
       2,
       {shed, shed},
       RelayOutcome::kNotRun,
       0,
       2},
      {"unsafe, shed then lost",
       false,
       2,
       {shed, lost},
       RelayOutcome::kFailed,
       0,
       2},
      {"unsafe, unsent",
       false,
       2,
       {unsent, good},
       RelayOutcome::kAnswered,
       200,
       2},
      {"unsafe, all unsent",
       false,
       2,
       {unsent, unsent, unsent},
       RelayOutcome::kNotRun,
       0,
       3},
      {"safe, lost", true, 2, {lost, good}, RelayOutcome::kAnswered, 200, 2},
      {"safe, lost, one try",
       true,
       1,
       {lost, good},
       RelayOutcome::kFailed,
       0,
       1},
      {"safe, 500 always",
       true,
       2,
       {Reply(FailureReply(500, "x")), Reply(FailureReply(500, "x"))},
       RelayOutcome::kAnswered,
       500,
       2},
      {"safe, 404",
       true,
       2,
       {Reply(FailureReply(404, "x")), good},
       RelayOutcome::kAnswered,
       404,
       1},
      {"unsigned success",
       true,
       2,
       {Reply(FailureReply(200, "")), Reply(FailureReply(200, ""))},
       RelayOutcome::kFailed,
       0,
       2},
      {"another request's",
       true,
       2,
       {Reply(OtherRequest()), Reply(OtherRequest())},
       RelayOutcome::kFailed,
       0,
       2},
      {"encoded",
       true,
       2,
       {Reply(Encoded()), Reply(Encoded())},
       RelayOutcome::kFailed,
       0,
       2},
      {"another server's address",
       false,
       2,
       {Reply(OtherServerReply()), good},
       RelayOutcome::kAnswered,
       200,
       2},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    RelayWorld world;
    world.PutRoutes(
        {RelayWorld::RelayRoute(row.is_idempotent, row.max_attempts)});
    for (const char* id : {"s1", "s2", "s3"}) {
      world.Publish(world.Server(id, "desk"));
    }
    std::size_t next = 0;
    world.client.script = [&](const RelaySend& /*send*/) {
      REQUIRE(next < row.reactions.size());
      return row.reactions[next++];
    };
    const Ended ended = world.Run("/relay/1");
    CHECK(NameOf(ended.answer.outcome) == NameOf(row.outcome));
    if (row.status != 0) CHECK(ended.answer.reply.status == row.status);
    CHECK(world.client.sent.size() <= row.arrivals);
    CHECK(world.executor.Unanswered() == 0);
  }
}

TEST_CASE("No request reaches more servers than its route allows") {
  for (const std::size_t max_attempts : {1, 2, 3}) {
    RelayWorld world;
    world.PutRoutes({RelayWorld::RelayRoute(true, max_attempts)});
    for (int index = 0; index < 6; ++index) {
      world.Publish(world.Server("s" + std::to_string(index), "desk"));
    }
    world.client.script = [](const RelaySend& /*send*/) {
      return Reaction{Milliseconds(5), FailureReply(500, "")};
    };
    world.Run("/relay/1");
    CHECK(world.client.sent.size() <= max_attempts);
  }
}

TEST_CASE("A request that its caller or route gave up on is answered then") {
  for (const bool is_idempotent : {true, false}) {
    RelayWorld world;
    world.PutRoutes({RelayWorld::RelayRoute(is_idempotent)});
    world.Publish(world.Server("s1", "desk"));
    world.client.script = [](const RelaySend& /*send*/) {
      return Reaction{Milliseconds(60'000), RelayFailure::kTimeout};
    };
    const Ended by_route = world.Run("/relay/1", Milliseconds(10'000));
    CHECK(by_route.answer.outcome == RelayOutcome::kTimedOut);
    CHECK(by_route.after <= Milliseconds(1'000));
    CHECK(by_route.after >= Milliseconds(900));
  }
}

TEST_CASE("A caller that leaves takes its requests to servers along") {
  RelayWorld world;
  world.PutRoutes({RelayWorld::GatherRoute(8, 0.5)});
  world.PutShardServers(8, 2);
  world.client.script = [](const RelaySend& /*send*/) {
    return Reaction{Milliseconds(500), RelayFailure::kTimeout};
  };
  const std::shared_ptr<Ended> ended = world.Start("/gather/1");
  world.time.Advance(Milliseconds(2));
  world.executor.Cancel(ended->number);
  CHECK(world.client.withdrawn == 8);
  const std::size_t sent = world.client.sent.size();
  world.time.Advance(Milliseconds(5'000));
  CHECK(world.client.sent.size() == sent);
  CHECK_FALSE(ended->is_answered);
}

TEST_CASE("What no route takes is told so; without routes it may come back") {
  RelayWorld world;
  CHECK(world.Run("/relay/1").answer.outcome == RelayOutcome::kNotConfigured);
  world.PutRoutes({RelayWorld::RelayRoute(true)});
  world.Publish(world.Server("s1", "desk"));
  CHECK(world.Run("/other/1").answer.outcome == RelayOutcome::kNoRoute);
  CHECK(world.Run("/relay").answer.outcome == RelayOutcome::kNoRoute);
  CHECK(world.Run("/relay/a/b?c=/d").answer.outcome == RelayOutcome::kAnswered);
}

TEST_CASE("Servers are told what is left of the deadline, no more") {
  RelayWorld world;
  world.PutRoutes({RelayWorld::RelayRoute(true)});
  world.Publish(world.Server("s1", "desk"));
  world.Publish(world.Server("s2", "desk"));
  const state::TimePoint start = world.time.Now();
  world.client.script = [](const RelaySend& /*send*/) {
    return Reaction{Milliseconds(100), FailureReply(500, "")};
  };
  world.Run("/relay/1", Milliseconds(700));
  REQUIRE(world.client.sent.size() == 2);
  for (const RelaySend& send : world.client.sent) {
    CHECK(send.deadline <= start + Milliseconds(700));
  }
}

TEST_CASE("A split keeps its weights, also while a part has no server") {
  for (const bool has_both : {true, false}) {
    RelayWorld world;
    state::Route route = RelayWorld::RelayRoute(true);
    route.split = {{state::ServiceId("desk"), 3}, {state::ServiceId("bay"), 1}};
    world.PutRoutes({route});
    world.Publish(world.Server("s1", "desk"));
    if (has_both) world.Publish(world.Server("s2", "bay"));
    int not_run = 0;
    for (int index = 0; index < 80; ++index) {
      const Ended ended = world.Run("/relay/1");
      if (ended.answer.outcome == RelayOutcome::kNotRun) ++not_run;
    }
    CHECK(world.client.arrivals["s1"] == 60);
    CHECK(not_run == (has_both ? 0 : 20));
  }
}

}  // namespace
}  // namespace banyanknot::coordination::routing_testing
