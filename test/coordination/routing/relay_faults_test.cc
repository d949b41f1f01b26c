#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "coordination/routing/relay_fixture.h"

namespace banyanknot::coordination::routing_testing {
namespace {

using state::RelayOutcome;

/// One case: the servers' responses and the expected result.
struct Row {
  const char* name;
  bool is_idempotent;
  std::size_t max_attempts;
  std::vector<Reaction> reactions;  // in order of the requests to servers
  RelayOutcome outcome;
  unsigned status;  // of a server's reply; 0 for the host's own answer
  std::size_t max_received;
};

Reaction Reply(RelayReply reply) {
  return {Milliseconds(10), std::move(reply)};
}
Reaction Failure(RelayFailure failure) { return {Milliseconds(10), failure}; }

RelayReply Encoded() {
  RelayReply reply = FailureReply(200, "s");
  reply.is_encoded = true;
  return reply;
}

TEST_CASE(
    "A relayed request ends with the right outcome for every server fault") {
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
      {"responses to other requests only",
       true,
       2,
       {Failure(RelayFailure::kMisplaced), Failure(RelayFailure::kMisplaced)},
       RelayOutcome::kFailed,
       0,
       2},
      {"unsafe, responses to other requests only",
       false,
       2,
       {Failure(RelayFailure::kMisplaced), good},
       RelayOutcome::kFailed,
       0,
       1},
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
    RelayFixture fixture;
    fixture.PutRoutes(
        {RelayFixture::RelayRoute(row.is_idempotent, row.max_attempts)});
    for (const char* id : {"s1", "s2", "s3"}) {
      fixture.Publish(fixture.Server(id, "desk"));
    }
    std::size_t next = 0;
    fixture.client.script = [&](const RelaySend& /*send*/) {
      REQUIRE(next < row.reactions.size());
      return row.reactions[next++];
    };
    const RequestResult result = fixture.Run("/relay/1");
    CHECK(NameOf(result.answer.outcome) == NameOf(row.outcome));
    if (row.status != 0) CHECK(result.answer.reply.status == row.status);
    CHECK(fixture.client.sent.size() <= row.max_received);
    CHECK(fixture.executor.Unanswered() == 0);
  }
}

TEST_CASE("A request makes at most the attempts that its route allows") {
  for (const std::size_t max_attempts : {1, 2, 3}) {
    RelayFixture fixture;
    fixture.PutRoutes({RelayFixture::RelayRoute(true, max_attempts)});
    for (int index = 0; index < 6; ++index) {
      fixture.Publish(fixture.Server("s" + std::to_string(index), "desk"));
    }
    fixture.client.script = [](const RelaySend& /*send*/) {
      return Reaction{Milliseconds(5), FailureReply(500, "")};
    };
    fixture.Run("/relay/1");
    CHECK(fixture.client.sent.size() <= max_attempts);
  }
}

TEST_CASE("A request is answered at its route's timeout") {
  for (const bool is_idempotent : {true, false}) {
    RelayFixture fixture;
    fixture.PutRoutes({RelayFixture::RelayRoute(is_idempotent)});
    fixture.Publish(fixture.Server("s1", "desk"));
    fixture.client.script = [](const RelaySend& /*send*/) {
      return Reaction{Milliseconds(60'000), RelayFailure::kTimeout};
    };
    const RequestResult by_route =
        fixture.Run("/relay/1", Milliseconds(10'000));
    CHECK(by_route.answer.outcome == RelayOutcome::kTimedOut);
    CHECK(by_route.after <= Milliseconds(1'000));
    CHECK(by_route.after >= Milliseconds(900));
  }
}

TEST_CASE("A caller that disconnects cancels its requests to servers") {
  RelayFixture fixture;
  fixture.PutRoutes({RelayFixture::GatherRoute(8, 0.5)});
  fixture.PutShardServers(8, 2);
  fixture.client.script = [](const RelaySend& /*send*/) {
    return Reaction{Milliseconds(500), RelayFailure::kTimeout};
  };
  const std::shared_ptr<RequestResult> result = fixture.Start("/gather/1");
  fixture.time.Advance(Milliseconds(2));
  fixture.executor.Cancel(result->number);
  CHECK(fixture.client.cancelled == 8);
  const std::size_t sent = fixture.client.sent.size();
  fixture.time.Advance(Milliseconds(5'000));
  CHECK(fixture.client.sent.size() == sent);
  CHECK_FALSE(result->is_answered);
}

TEST_CASE(
    "Requests without a matching route or without any routes are rejected") {
  RelayFixture fixture;
  CHECK(fixture.Run("/relay/1").answer.outcome == RelayOutcome::kNotConfigured);
  fixture.PutRoutes({RelayFixture::RelayRoute(true)});
  fixture.Publish(fixture.Server("s1", "desk"));
  CHECK(fixture.Run("/other/1").answer.outcome == RelayOutcome::kNoRoute);
  CHECK(fixture.Run("/relay").answer.outcome == RelayOutcome::kNoRoute);
  CHECK(fixture.Run("/relay/a/b?c=/d").answer.outcome ==
        RelayOutcome::kAnswered);
}

TEST_CASE("Deadlines sent to servers don't exceed the caller's") {
  RelayFixture fixture;
  fixture.PutRoutes({RelayFixture::RelayRoute(true)});
  fixture.Publish(fixture.Server("s1", "desk"));
  fixture.Publish(fixture.Server("s2", "desk"));
  const state::TimePoint start = fixture.time.Now();
  fixture.client.script = [](const RelaySend& /*send*/) {
    return Reaction{Milliseconds(100), FailureReply(500, "")};
  };
  fixture.Run("/relay/1", Milliseconds(700));
  REQUIRE(fixture.client.sent.size() == 2);
  for (const RelaySend& send : fixture.client.sent) {
    CHECK(send.deadline <= start + Milliseconds(700));
  }
}

TEST_CASE("A split keeps its weights, also while a service has no server") {
  for (const bool has_both : {true, false}) {
    RelayFixture fixture;
    state::Route route = RelayFixture::RelayRoute(true);
    route.split = {{state::ServiceId("desk"), 3}, {state::ServiceId("bay"), 1}};
    fixture.PutRoutes({route});
    fixture.Publish(fixture.Server("s1", "desk"));
    if (has_both) fixture.Publish(fixture.Server("s2", "bay"));
    int not_run = 0;
    for (int index = 0; index < 80; ++index) {
      const RequestResult result = fixture.Run("/relay/1");
      if (result.answer.outcome == RelayOutcome::kNotRun) ++not_run;
    }
    CHECK(fixture.client.received["s1"] == 60);
    CHECK(not_run == (has_both ? 0 : 20));
  }
}

}  // namespace
}  // namespace banyanknot::coordination::routing_testing
