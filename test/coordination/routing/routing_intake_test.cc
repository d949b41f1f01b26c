#include <catch2/catch.hpp>
#include <string>

#include "coordination/routing/relay_world.h"

namespace banyanknot::coordination::routing_testing {
namespace {

using state::RelayOutcome;

/// A world with one relay route over two servers in two failure domains.
struct IntakeWorld {
  IntakeWorld() {
    this->world.PutRoutes({RelayWorld::RelayRoute(true)}, 5);
    this->world.Publish(this->world.Server("s1", "desk", "a"));
    this->world.Publish(this->world.Server("s2", "desk", "b"));
  }
  int ArrivalsAt(const char* server, int requests = 12) {
    this->world.client.arrivals.clear();
    for (int index = 0; index < requests; ++index) {
      this->world.Run("/relay/1");
    }
    return this->world.client.arrivals[server];
  }
  /// Every request to s1 loses its connection from now on.
  void BreakFirstServer() {
    this->world.client.script = [](const RelaySend& send) {
      if (send.server.Text() == "s1") {
        return Reaction{Milliseconds(5), RelayFailure::kLost};
      }
      return Reaction{Milliseconds(5), GoodReply(send, "")};
    };
  }
  RelayWorld world;
};

TEST_CASE("The greatest version of the routes stays in force") {
  IntakeWorld intake;
  state::Route other = RelayWorld::RelayRoute(true);
  other.prefix = "/older/";
  intake.world.PutRoutes({other}, 4);
  CHECK(intake.world.routes.Current()->Version() == 5);
  intake.world.PutRoutes({other}, 9);
  CHECK(intake.world.routes.Current()->Version() == 9);
  CHECK(intake.world.Run("/relay/1").answer.outcome == RelayOutcome::kNoRoute);
}

TEST_CASE("A leaving or removed server gets nothing more, hedges included") {
  IntakeWorld intake;
  state::RegisteredServer leaving = intake.world.Server("s1", "desk", "a");
  leaving.is_leaving = true;
  intake.world.Publish(leaving);
  CHECK(intake.ArrivalsAt("s1") == 0);
  leaving.is_leaving = false;  // an older word does not bring it back
  intake.world.Publish(leaving);
  CHECK(intake.ArrivalsAt("s1") == 0);
  intake.world.Publish(ServerRemoval{state::InstanceId("s2")});
  CHECK(intake.world.Run("/relay/1").answer.outcome == RelayOutcome::kNotRun);
}

TEST_CASE("A new start under an old id is another server") {
  IntakeWorld intake;
  state::RegisteredServer again = intake.world.Server("s1", "desk", "a");
  again.is_leaving = true;
  intake.world.Publish(again);
  again.is_leaving = false;
  again.started_unix_ms = 77;
  intake.world.Publish(again);
  CHECK(intake.ArrivalsAt("s1") == 12);
  CHECK(intake.world.client.forgotten.size() == 1);
}

TEST_CASE("A cold server gets nothing until it is warm") {
  IntakeWorld intake;
  state::RegisteredServer cold = intake.world.Server("s1", "desk", "a");
  cold.started_unix_ms = 78;
  cold.cold_for = Milliseconds(200'000);
  intake.world.Publish(cold);
  CHECK(intake.ArrivalsAt("s1") == 0);
  intake.world.time.Advance(Milliseconds(200'000));
  CHECK(intake.ArrivalsAt("s1") == 12);
}

TEST_CASE("A failure domain is taken out, and back only after a check") {
  IntakeWorld intake;
  intake.world.Publish(DomainStateChange{state::FailureDomainId("a"), true});
  CHECK(intake.ArrivalsAt("s1") == 0);
  CHECK(intake.world.client.questions["s1"] == 0);
  intake.world.client.health = [](const state::InstanceId& server) {
    return ServerHealth{server, true, Milliseconds(100'000)};
  };
  intake.world.Publish(DomainStateChange{state::FailureDomainId("a"), false});
  CHECK(intake.ArrivalsAt("s1") == 0);  // cold, as the check found
  CHECK(intake.world.client.questions["s1"] == 1);
  intake.world.time.Advance(Milliseconds(100'000));
  CHECK(intake.ArrivalsAt("s1") == 12);
}

TEST_CASE("A server that joins a domain that is out gets nothing") {
  IntakeWorld intake;
  intake.world.Publish(DomainStateChange{state::FailureDomainId("a"), true});
  intake.world.Publish(intake.world.Server("s3", "desk", "a"));
  CHECK(intake.ArrivalsAt("s3") == 0);
}

TEST_CASE("Everything read at once removes what is not in it") {
  IntakeWorld intake;
  intake.world.Publish(DomainStateChange{state::FailureDomainId("b"), true});
  intake.world.intake.ApplyAll({{intake.world.Server("s2", "desk", "b")}, 9},
                               RemovalMode::kImmediate);
  CHECK(intake.ArrivalsAt("s1") == 0);
  CHECK(intake.ArrivalsAt("s2") == 12);
}

TEST_CASE("Servers that lapsed with their source have a moment to return") {
  IntakeWorld intake;
  intake.world.Publish(ServerRemoval{state::InstanceId("s1")},
                       RemovalMode::kDeferred);
  intake.world.Publish(ServerRemoval{state::InstanceId("s2")},
                       RemovalMode::kDeferred);
  std::shared_ptr<Ended> ended = intake.world.Start("/relay/1");
  intake.world.time.Advance(Milliseconds(100));
  CHECK(ended->answer.outcome == RelayOutcome::kAnswered);
  intake.world.Publish(intake.world.Server("s2", "desk", "b"));
  intake.world.time.Advance(Milliseconds(3'000));
  CHECK(intake.ArrivalsAt("s1") == 0);
  CHECK(intake.ArrivalsAt("s2") == 12);
}

TEST_CASE("A broken connection is followed by a check before more work") {
  IntakeWorld intake;
  intake.BreakFirstServer();
  intake.world.client.health = [](const state::InstanceId& /*server*/) {
    return std::optional<ServerHealth>();
  };
  CHECK(intake.ArrivalsAt("s1", 6) == 1);
  CHECK(intake.world.client.questions["s1"] > 3);
  CHECK(intake.world.log.Count(EventCode::kServerDoubted) == 1);
}

TEST_CASE("A host that reaches no other failure domain is not ready") {
  RelayWorld world;
  ReachabilityReadiness readiness(world.time, world.routes, world.servers,
                                  world.log);
  CHECK_FALSE(readiness.IsReady());
  world.PutRoutes({RelayWorld::RelayRoute(true)});
  CHECK_FALSE(readiness.IsReady());
  for (const char* id : {"a1", "b1", "b2", "c1", "c2", "c3"}) {
    world.Publish(
        world.Server(id, id[0] == 'a' ? "bay" : "desk", std::string(1, id[0])));
  }
  CHECK(readiness.IsReady());
  std::string cut = "b";
  world.client.script = [&cut](const RelaySend& send) {
    if (cut.find(send.server.Text()[0]) != std::string::npos) {
      return Reaction{Milliseconds(5), RelayFailure::kNotSent};
    }
    return Reaction{Milliseconds(5), GoodReply(send, "")};
  };
  world.client.health = [&cut](const state::InstanceId& server) {
    return cut.find(server.Text()[0]) == std::string::npos
               ? std::optional<ServerHealth>({server, true, Milliseconds(0)})
               : std::nullopt;
  };
  for (int index = 0; index < 30; ++index) world.Start("/relay/1");
  world.time.Advance(Milliseconds(1'000));
  CHECK(readiness.IsReady());  // one domain of two is down
  cut = "bc";
  for (int index = 0; index < 30; ++index) {
    world.Start("/relay/1");
    world.time.Advance(Milliseconds(100));
  }
  CHECK_FALSE(readiness.IsReady());
  cut = "";
  world.time.Advance(Milliseconds(2'000));
  CHECK(readiness.IsReady());
}

TEST_CASE("A server that is slow for one request is not taken for gone") {
  for (const bool answers_others : {true, false}) {
    RelayWorld world;
    const TrackedServerPtr server =
        std::make_shared<TrackedServer>(world.Server("s1", "desk"), 4);
    const state::TimePoint start = world.time.Now();
    REQUIRE(server->TryReserve(start));
    REQUIRE(server->TryReserve(start + Milliseconds(1)));
    if (answers_others) {
      server->Release(AttemptOutcome::kReplied, start + Milliseconds(1),
                      start + Milliseconds(200), std::nullopt);
    }
    server->Release(AttemptOutcome::kSilent, start, start + Milliseconds(400),
                    std::nullopt);
    CHECK(server->NeedsHealthCheck() != answers_others);
    CHECK(server->IsUsable(start + Milliseconds(400)) == answers_others);
  }
}

TEST_CASE("A check that finds another server ends the old one") {
  IntakeWorld intake;
  intake.BreakFirstServer();
  intake.world.client.health = [](const state::InstanceId& /*server*/) {
    return ServerHealth{state::InstanceId("other"), true, state::Duration(0)};
  };
  CHECK(intake.ArrivalsAt("s1", 6) == 1);
  CHECK(intake.world.client.questions["s1"] == 1);
}

}  // namespace
}  // namespace banyanknot::coordination::routing_testing
