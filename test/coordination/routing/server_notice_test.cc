#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "coordination/routing/relay_fixture.h"

// What servers say of themselves in replies: that they leave, and that they
// want no requests for some time.
namespace banyanknot::coordination::routing_testing {
namespace {

using state::RelayOutcome;

RelayReply Leaving(RelayReply reply) {
  reply.notice.is_leaving = true;
  return reply;
}

RelayReply BackOffReply(state::Duration back_off) {
  RelayReply reply = ShedReply();
  reply.notice.back_off = back_off;
  return reply;
}

/// Two servers of a relayed route. `first` gets requests first: it is in this
/// host's failure domain.
struct NoticeFixture {
  explicit NoticeFixture(std::size_t max_attempts = 2) {
    this->fixture.PutRoutes({RelayFixture::RelayRoute(true, max_attempts)});
    this->fixture.Publish(this->fixture.Server("first", "desk", "a"));
    this->fixture.Publish(this->fixture.Server("second", "desk", "b"));
  }
  /// Lets one server respond so and the other well.
  void Script(const std::string& server, Reaction reaction) {
    this->fixture.client.script = [server, reaction](const RelaySend& send) {
      if (send.server.Text() == server) return reaction;
      return Reaction{Milliseconds(10), GoodReply(send, "")};
    };
  }
  /// Counts the requests to `server` while the other one refuses all.
  int RequestsAtAlone(const std::string& server) {
    this->Script(server == "first" ? "second" : "first",
                 {Milliseconds(10), ShedReply()});
    return this->RequestsAt(server);
  }
  int RequestsAt(const std::string& server, int requests = 12) {
    this->fixture.client.received.clear();
    for (int index = 0; index < requests; ++index) {
      this->fixture.Run("/relay/1");
    }
    return this->fixture.client.received[server];
  }
  RelayFixture fixture;
};

TEST_CASE("A server that says it is leaving in any reply gets no new request") {
  struct Row {
    const char* name;
    RelayReply reply;
  };
  RelayReply success;
  success.status = 200;
  success.signature = "s";
  const std::vector<Row> rows = {
      {"success", Leaving(success)},
      {"refusal", Leaving(ShedReply())},
      {"failure", Leaving(FailureReply(500, "x"))},
      {"unsigned failure", Leaving(FailureReply(502, ""))},
      {"another server", Leaving(OtherServerReply())},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    NoticeFixture notices;
    notices.Script("first", {Milliseconds(10), row.reply});
    notices.fixture.Run("/relay/1");
    REQUIRE(notices.fixture.client.received["first"] == 1);
    CHECK(notices.RequestsAt("first") == 0);
  }
}

TEST_CASE("Leaving counts in a reply that lost a hedge race") {
  NoticeFixture notices;
  RelayReply late;
  late.status = 200;
  late.signature = "late";
  notices.Script("first", {Milliseconds(300), Leaving(late)});
  const RequestResult result = notices.fixture.Run("/relay/1");
  REQUIRE(result.after < Milliseconds(300));
  REQUIRE(notices.fixture.client.received["first"] == 1);
  CHECK(notices.RequestsAt("first") == 0);
}

TEST_CASE("Leaving counts in the response to a health check") {
  NoticeFixture notices;
  notices.fixture.client.health = [](const state::InstanceId& server) {
    ServerHealth health{server, true, state::Duration(0)};
    health.notice.is_leaving = server.Text() == "first";
    return health;
  };
  notices.Script("first", {Milliseconds(5), RelayFailure::kLost});
  notices.fixture.Run("/relay/1");
  REQUIRE(notices.fixture.client.health_checks["first"] == 1);
  CHECK(notices.RequestsAt("first") == 0);
}

TEST_CASE("Queued requests are not sent to a server that began to leave") {
  RelayFixture fixture;
  fixture.max_connections = 12;  // one request of this host at a time
  fixture.PutRoutes({RelayFixture::RelayRoute(true)});
  fixture.Publish(fixture.Server("only", "desk"));
  fixture.client.script = [](const RelaySend& send) {
    return Reaction{Milliseconds(50), Leaving(GoodReply(send, ""))};
  };
  const std::shared_ptr<RequestResult> first = fixture.Start("/relay/1");
  const std::shared_ptr<RequestResult> queued = fixture.Start("/relay/2");
  fixture.time.Advance(Milliseconds(3'000));
  CHECK(first->answer.outcome == RelayOutcome::kAnswered);
  CHECK(queued->answer.outcome == RelayOutcome::kNotRun);
  CHECK(queued->after < Milliseconds(100));
  CHECK(fixture.client.received["only"] == 1);
}

TEST_CASE("Leaving outlasts the entry and ends with the incarnation") {
  NoticeFixture notices;
  RelayFixture& fixture = notices.fixture;
  notices.Script("first", {Milliseconds(5), Leaving(ShedReply())});
  fixture.Run("/relay/1");
  const state::RegisteredServer ready = fixture.Server("first", "desk", "a");
  fixture.Publish(ready);
  CHECK(notices.RequestsAt("first") == 0);
  fixture.Publish(ServerRemoval{ready.id});
  fixture.Publish(ready);  // its entry lapsed and was written again
  CHECK(notices.RequestsAt("first") == 0);
  state::RegisteredServer restarted = ready;
  restarted.started_unix_ms = 5;
  fixture.Publish(restarted);
  CHECK(notices.RequestsAtAlone("first") > 0);
}

TEST_CASE("An entry that lapsed without a word of leaving is used again") {
  NoticeFixture notices;
  const state::RegisteredServer ready =
      notices.fixture.Server("first", "desk", "a");
  notices.fixture.Publish(ServerRemoval{ready.id});
  CHECK(notices.RequestsAtAlone("first") == 0);
  notices.fixture.Publish(ready);
  CHECK(notices.RequestsAtAlone("first") > 0);
}

TEST_CASE("A server gets no request and no check until its back-off ends") {
  NoticeFixture notices;
  RelayFixture& fixture = notices.fixture;
  notices.Script("first",
                 {Milliseconds(5), BackOffReply(Milliseconds(60'000))});
  fixture.Run("/relay/1");  // takes 3 s of virtual time, like each below
  REQUIRE(fixture.client.received["first"] == 1);
  // Neither a good reply that was on its way nor a shorter back-off ends it.
  const TrackedServerPtr server =
      fixture.servers.Pick(state::ServiceId("desk"),
                           {state::InstanceId("second")}, fixture.time.Now());
  CHECK(server == nullptr);
  CHECK(notices.RequestsAt("first", 18) == 0);
  CHECK(fixture.client.health_checks["first"] == 0);
  fixture.time.Advance(Milliseconds(4'000));
  CHECK(notices.RequestsAtAlone("first") > 0);
}

TEST_CASE("A suspected server is not checked during its back-off") {
  NoticeFixture notices;
  RelayFixture& fixture = notices.fixture;
  int requests = 0;
  fixture.client.script = [&requests](const RelaySend& send) {
    if (send.server.Text() != "first") {
      return Reaction{Milliseconds(10), GoodReply(send, "")};
    }
    return ++requests == 1 ? Reaction{Milliseconds(5), RelayFailure::kLost}
                           : Reaction{Milliseconds(5), ShedReply()};
  };
  fixture.client.health = [](const state::InstanceId& server) {
    ServerHealth health{server, false, state::Duration(0)};
    health.notice.back_off = Milliseconds(2'000);
    return health;
  };
  fixture.Run("/relay/1");
  fixture.time.Advance(Milliseconds(17'000));
  // One check each two seconds, against more than one a second without.
  CHECK(fixture.client.health_checks["first"] >= 8);
  CHECK(fixture.client.health_checks["first"] <= 10);
}

TEST_CASE(
    "A request waits for the end of a back-off that its deadline allows") {
  RelayFixture fixture;
  fixture.PutRoutes({RelayFixture::RelayRoute(true)});
  fixture.Publish(fixture.Server("only", "desk"));
  fixture.client.script = [](const RelaySend& /*send*/) {
    return Reaction{Milliseconds(5), BackOffReply(Milliseconds(600))};
  };
  const RequestResult refused = [&fixture] {
    const std::shared_ptr<RequestResult> started = fixture.Start("/relay/1");
    fixture.time.Advance(Milliseconds(20));
    return *started;
  }();
  REQUIRE(refused.is_answered);
  CHECK(refused.answer.outcome == RelayOutcome::kNotRun);
  CHECK(refused.answer.retry_after >= Milliseconds(580));
  fixture.client.script = [](const RelaySend& send) {
    return Reaction{Milliseconds(5), GoodReply(send, "")};
  };
  const std::shared_ptr<RequestResult> early =
      fixture.Start("/relay/2", Milliseconds(300));
  REQUIRE(early->is_answered);
  CHECK(early->answer.outcome == RelayOutcome::kNotRun);
  CHECK(early->answer.retry_after >= Milliseconds(580));
  const std::shared_ptr<RequestResult> patient = fixture.Start("/relay/3");
  const std::shared_ptr<RequestResult> another = fixture.Start("/relay/4");
  fixture.time.Advance(Milliseconds(500));
  CHECK(fixture.client.received["only"] == 1);
  CHECK_FALSE(patient->is_answered);
  fixture.time.Advance(Milliseconds(1'000));
  CHECK(patient->answer.outcome == RelayOutcome::kAnswered);
  CHECK(another->answer.outcome == RelayOutcome::kAnswered);
  CHECK(patient->after < Milliseconds(700));
}

TEST_CASE("A gather whose shards back off is refused at once with their time") {
  RelayFixture fixture;
  fixture.PutRoutes({RelayFixture::GatherRoute(4, 0.75)});
  fixture.PutShardServers(4, 1);
  fixture.client.script = [](const RelaySend& send) {
    const bool is_first = send.server.Text() == "shard0-0";
    return Reaction{Milliseconds(5), is_first
                                         ? GoodReply(send, "")
                                         : BackOffReply(Milliseconds(2'000))};
  };
  fixture.Start("/gather/1");
  fixture.time.Advance(Milliseconds(50));
  const std::size_t sent = fixture.client.sent.size();
  const std::shared_ptr<RequestResult> refused =
      fixture.Start("/gather/2", Milliseconds(800));
  REQUIRE(refused->is_answered);
  CHECK(refused->answer.outcome == RelayOutcome::kNotRun);
  CHECK(refused->answer.retry_after >= Milliseconds(1'900));
  CHECK(fixture.client.sent.size() == sent);
}

TEST_CASE("A new incarnation ends the back-off of the one before") {
  NoticeFixture notices;
  notices.Script("first",
                 {Milliseconds(5), BackOffReply(Milliseconds(3'000'000))});
  notices.fixture.Run("/relay/1");
  CHECK(notices.RequestsAt("first") == 0);
  state::RegisteredServer restarted =
      notices.fixture.Server("first", "desk", "a");
  restarted.started_unix_ms = 9;
  notices.fixture.Publish(restarted);
  CHECK(notices.RequestsAtAlone("first") > 0);
}

TEST_CASE("A nonsensical back-off takes a server out for a bounded time") {
  NoticeFixture notices;
  notices.Script("first",
                 {Milliseconds(5), BackOffReply(state::Duration::max())});
  notices.fixture.Run("/relay/1");
  CHECK(notices.RequestsAt("first") == 0);
  notices.fixture.time.Advance(Milliseconds(3'600'000));
  CHECK(notices.RequestsAtAlone("first") > 0);
}

TEST_CASE("A request withdrawn before its first byte goes elsewhere") {
  NoticeFixture notices;
  notices.Script("first", {Milliseconds(5), RelayFailure::kWithdrawn});
  const RequestResult result = notices.fixture.Run("/relay/1");
  CHECK(result.answer.outcome == RelayOutcome::kAnswered);
  CHECK(notices.fixture.client.received["second"] == 1);
  // The server is not at fault.
  CHECK(notices.fixture.client.health_checks["first"] == 0);
}

}  // namespace
}  // namespace banyanknot::coordination::routing_testing
