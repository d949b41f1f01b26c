#include "banyanknot/coordination/actions/action_forwarder.h"

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/actions/action_world.h"

namespace banyanknot::coordination::action_test {
namespace {

using Replies = std::shared_ptr<std::vector<state::ActionReply>>;

// The issuing host h1 and two others that know it.
struct FleetFixture {
  FleetFixture() {
    this->issuer =
        std::make_unique<ActionHost>(this->world, "h1", 1, 11, this->policy);
    this->second =
        std::make_unique<ActionHost>(this->world, "h2", 2, 22, this->policy);
    this->third =
        std::make_unique<ActionHost>(this->world, "h3", 3, 33, this->policy);
    this->second->AddHost(this->issuer->identity);
    this->third->AddHost(this->issuer->identity);
  }

  void RestartIssuer() {
    this->issuer.reset();
    this->issuer =
        std::make_unique<ActionHost>(this->world, "h1", 1, 44, this->policy);
  }

  int Runs() { return this->world.servers.runs_by_ask["1"]; }

  SimulatedFleet world;
  AtMostOncePolicy policy;
  std::unique_ptr<ActionHost> issuer;
  std::unique_ptr<ActionHost> second;
  std::unique_ptr<ActionHost> third;
};

state::Outcome OutcomeOf(const Replies& replies) {
  REQUIRE(replies->size() == 1);
  return replies->front().outcome;
}

TEST_CASE("Another host forwards the action to the issuer of the ticket") {
  FleetFixture fleet;
  const Replies replies = fleet.second->Ask(ActionWith(fleet.issuer->Issue()));
  CHECK(fleet.second->forwarder.Pending() == 1);
  fleet.world.time.RunFor(state::Milliseconds(100));
  CHECK(OutcomeOf(replies) == state::Outcome::kOk);
  CHECK(replies->front().records.size() == 1);
  CHECK(fleet.Runs() == 1);
  CHECK(fleet.second->forwarder.Pending() == 0);
}

TEST_CASE("A caller retries after losing the reply") {
  struct Row {
    const char* name;
    std::function<void(FleetFixture&)> between;
    std::function<ActionHost&(FleetFixture&)> asked;
    state::Outcome outcome;
  };
  const auto nothing = [](FleetFixture&) {};
  const auto issuer = [](FleetFixture& fleet) -> ActionHost& {
    return *fleet.issuer;
  };
  const auto third = [](FleetFixture& fleet) -> ActionHost& {
    return *fleet.third;
  };
  const std::vector<Row> rows = {
      {"at the issuing host", nothing, issuer, state::Outcome::kOk},
      {"at another host", nothing, third, state::Outcome::kOk},
      {"at another host, issuer dead and not yet noticed",
       [](FleetFixture& fleet) { fleet.issuer.reset(); }, third,
       state::Outcome::kUnknown},
      {"at another host, issuer known to be dead",
       [](FleetFixture& fleet) {
         fleet.third->AddHost(fleet.issuer->identity, state::HostState::kDead);
         fleet.issuer.reset();
       },
       third, state::Outcome::kUnknown},
      {"at a new incarnation of the issuer",
       [](FleetFixture& fleet) { fleet.RestartIssuer(); }, issuer,
       state::Outcome::kUnknown},
      {"at another host, with a new incarnation of the issuer",
       [](FleetFixture& fleet) { fleet.RestartIssuer(); }, third,
       state::Outcome::kUnknown},
      {"at a host that does not know the issuer",
       [](FleetFixture& fleet) {
         fleet.third->hosts.Take(state::HostId("h1"));
       },
       third, state::Outcome::kUnknown},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    FleetFixture fleet;
    const state::Action action = ActionWith(fleet.issuer->Issue());
    fleet.second->Ask(action);
    fleet.world.time.RunFor(state::Milliseconds(100));
    REQUIRE(fleet.Runs() == 1);
    row.between(fleet);
    const Replies replies = row.asked(fleet).Ask(action);
    fleet.world.time.RunFor(state::Milliseconds(2'000));
    CHECK(NameOf(OutcomeOf(replies)) == NameOf(row.outcome));
    CHECK(fleet.Runs() == 1);
  }
}

TEST_CASE("An unused ticket of a dead incarnation is unknown, never run") {
  FleetFixture fleet;
  const state::Action action = ActionWith(fleet.issuer->Issue());
  fleet.RestartIssuer();
  const Replies replies = fleet.second->Ask(action);
  fleet.world.time.RunFor(state::Milliseconds(2'000));
  CHECK(OutcomeOf(replies) == state::Outcome::kUnknown);
  CHECK(fleet.world.servers.sent.empty());
}

TEST_CASE("Concurrent copies of one action at three hosts run once") {
  FleetFixture fleet;
  const state::Action action = ActionWith(fleet.issuer->Issue());
  const std::vector<Replies> asks = {fleet.issuer->Ask(action),
                                     fleet.second->Ask(action),
                                     fleet.third->Ask(action)};
  fleet.world.time.RunFor(state::Milliseconds(100));
  for (const Replies& replies : asks) {
    CHECK(OutcomeOf(replies) == state::Outcome::kOk);
  }
  CHECK(fleet.Runs() == 1);
}

TEST_CASE("A lost message is resent until a result arrives") {
  FleetFixture fleet;
  int messages = 0;
  fleet.world.network.delays = [&messages] {
    return ++messages <= 2
               ? std::vector<state::Duration>{}
               : std::vector<state::Duration>{state::Milliseconds(1)};
  };
  const Replies replies = fleet.second->Ask(ActionWith(fleet.issuer->Issue()));
  fleet.world.time.RunFor(state::Milliseconds(600));
  CHECK(OutcomeOf(replies) == state::Outcome::kOk);
  CHECK(fleet.Runs() == 1);
}

TEST_CASE("In a partition the reply is unknown soon after the deadline") {
  FleetFixture fleet;
  fleet.world.network.delays = [] { return std::vector<state::Duration>{}; };
  const Replies replies = fleet.second->Ask(ActionWith(fleet.issuer->Issue()));
  fleet.world.time.RunFor(state::Milliseconds(500));
  CHECK(replies->empty());
  fleet.world.time.RunFor(kActionReplyMargin);
  CHECK(OutcomeOf(replies) == state::Outcome::kUnknown);
  CHECK(fleet.second->forwarder.Pending() == 0);
}

TEST_CASE("A copy that arrives after a not_run reply does not run") {
  FleetFixture fleet;
  const state::Action action = ActionWith(fleet.issuer->Issue());
  fleet.world.network.delays = [] {
    return std::vector<state::Duration>{state::Milliseconds(300)};
  };
  fleet.second->Ask(action);  // arrives after 300 ms
  fleet.issuer->gate.closed = {"b1", "b2"};
  const Replies refused = fleet.issuer->Ask(action);
  CHECK(OutcomeOf(refused) == state::Outcome::kNotRun);
  fleet.issuer->gate.closed.clear();
  fleet.world.time.RunFor(state::Milliseconds(2'000));
  CHECK(fleet.world.servers.sent.empty());
}

TEST_CASE("Results for another call or from another host are dropped") {
  struct Row {
    const char* name;
    std::function<void(PeerEnvelope&, PeerActionResult&)> change;
  };
  const std::vector<Row> rows = {
      {"another call",
       [](PeerEnvelope&, PeerActionResult& result) { ++result.call; }},
      {"another ticket",
       [](PeerEnvelope&, PeerActionResult& result) { ++result.ticket.nonce; }},
      {"another host",
       [](PeerEnvelope& envelope, PeerActionResult&) {
         envelope.from = state::HostId("h3");
       }},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    FleetFixture fleet;
    fleet.world.network.delays = [] { return std::vector<state::Duration>{}; };
    const state::Action action = ActionWith(fleet.issuer->Issue());
    const Replies replies = fleet.second->Ask(action);
    const PeerEnvelope sent = fleet.world.network.carried.at(0).second;
    PeerActionResult result;
    result.call = std::get<PeerAction>(sent.message).call;
    result.ticket = action.ticket;
    result.reply.outcome = state::Outcome::kOk;
    PeerEnvelope envelope{state::HostId("h1"), 11, result};
    row.change(envelope, result);
    envelope.message = result;
    fleet.second->forwarder.OnPeerMessage(envelope);
    CHECK(replies->empty());
    // The valid result is still accepted, once.
    PeerActionResult right;
    right.call = std::get<PeerAction>(sent.message).call;
    right.ticket = action.ticket;
    right.reply.outcome = state::Outcome::kFailed;
    fleet.second->forwarder.OnPeerMessage({state::HostId("h1"), 11, right});
    fleet.second->forwarder.OnPeerMessage({state::HostId("h1"), 11, right});
    CHECK(OutcomeOf(replies) == state::Outcome::kFailed);
  }
}

TEST_CASE("An action for another host or past its deadline is dropped") {
  FleetFixture fleet;
  state::Action foreign = ActionWith(fleet.second->Issue());
  fleet.issuer->forwarder.OnPeerMessage(
      {state::HostId("h3"), 33, PeerAction{1, {"127.0.0.1", 3}, foreign}});
  state::Action late = ActionWith(fleet.issuer->Issue());
  late.deadline = state::Milliseconds(-1);
  fleet.issuer->forwarder.OnPeerMessage(
      {state::HostId("h3"), 33, PeerAction{2, {"127.0.0.1", 3}, late}});
  fleet.world.time.RunFor(state::Milliseconds(100));
  CHECK(fleet.world.servers.sent.empty());
  CHECK(fleet.world.network.carried.empty());
}

}  // namespace
}  // namespace banyanknot::coordination::action_test
