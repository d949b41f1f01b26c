#include "banyanknot/coordination/fleet/gossip_server_update_channel.h"

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "coordination/fleet/support/fleet_host.h"

namespace banyanknot::coordination::fleet_testing {
namespace {

class RecordingListener : public ServerUpdateListener {
 public:
  void OnServerUpdate(const ServerUpdate& update,
                      const state::HostId& /*from*/) override {
    this->server_updates.push_back(update);
  }
  std::vector<ServerUpdate> server_updates;
};

ServerUpdate ServerUpdateOf(state::ServerPhase phase, const char* instance) {
  return {state::ServerId("s1"), state::InstanceId(instance), phase,
          state::Duration(0)};
}

struct Fixture {
  Fixture(std::size_t hosts, std::uint64_t seed) : fleet(hosts, 3, seed) {
    this->fleet.platform.Put("domain/d0", "in");
    this->fleet.Start();
    this->fleet.Run(state::Milliseconds(10'000));
    for (const std::unique_ptr<FleetHost>& host : this->fleet.hosts) {
      this->listeners.push_back(std::make_unique<RecordingListener>());
      host->server_updates.Subscribe(*this->listeners.back());
    }
  }
  bool HasReachedOthers(std::size_t count) const {
    for (std::size_t index = 1; index < this->listeners.size(); ++index) {
      if (this->listeners[index]->server_updates.size() < count) return false;
    }
    return true;
  }
  state::Duration RunUntilReached(std::size_t count, state::Duration bound) {
    return this->fleet.RunUntilAll(bound, [this, count](const FleetHost&) {
      return this->HasReachedOthers(count);
    });
  }
  FleetFixture fleet;
  std::vector<std::unique_ptr<RecordingListener>> listeners;
};

TEST_CASE("A leaving server is known to all hosts within bounds") {
  struct Case {
    std::size_t hosts;
    std::uint64_t loss_permille;
    state::Duration bound;
  };
  const std::vector<Case> cases{{9, 0, state::Milliseconds(100)},
                                {9, 200, state::Milliseconds(5'000)},
                                {45, 0, state::Milliseconds(2'000)}};
  for (const Case& item : cases) {
    INFO(item.hosts << " hosts, loss " << item.loss_permille);
    Fixture fixture(item.hosts, 41);
    fixture.fleet.network.loss_permille = item.loss_permille;
    fixture.fleet.hosts[0]->server_updates.Publish(
        ServerUpdateOf(state::ServerPhase::kLeaving, "i1"));
    CHECK(fixture.RunUntilReached(1, item.bound) <= item.bound);
  }
}

// Guards against hosts that go on sending a cold server what a warm one takes.
TEST_CASE(
    "A cold instance is known to all hosts before their next heartbeats") {
  const state::Duration bound = state::Milliseconds(50);
  for (const std::uint64_t seed : {44, 45, 46}) {
    INFO(seed);
    Fixture fixture(9, seed);
    fixture.fleet.hosts[0]->server_updates.Publish(
        ServerUpdateOf(state::ServerPhase::kWarm, "i1"));
    fixture.fleet.Run(state::Milliseconds(20'000));
    REQUIRE(fixture.HasReachedOthers(1));
    fixture.fleet.hosts[0]->server_updates.Publish(
        ServerUpdateOf(state::ServerPhase::kCold, "i2"));
    CHECK(fixture.RunUntilReached(2, bound) <= bound);
  }
}

TEST_CASE("Each listener receives a phase once, and leaving is final") {
  Fixture fixture(9, 42);
  fixture.fleet.hosts[0]->server_updates.Publish(
      ServerUpdateOf(state::ServerPhase::kCold, "i1"));
  fixture.fleet.Run(state::Milliseconds(20'000));
  CHECK(fixture.HasReachedOthers(1));
  fixture.fleet.hosts[3]->server_updates.Publish(
      ServerUpdateOf(state::ServerPhase::kLeaving, "i1"));
  fixture.fleet.Run(state::Milliseconds(20'000));
  fixture.fleet.hosts[5]->server_updates.Publish(
      ServerUpdateOf(state::ServerPhase::kWarm, "i1"));
  fixture.fleet.Run(state::Milliseconds(20'000));
  for (std::size_t index = 1; index < 9; ++index) {
    if (index == 3) continue;
    const std::vector<ServerUpdate>& server_updates =
        fixture.listeners[index]->server_updates;
    REQUIRE(server_updates.size() == 2);
    CHECK(server_updates[1].phase == state::ServerPhase::kLeaving);
  }
}

TEST_CASE("A server update is sent a bounded number of times") {
  Fixture fixture(9, 43);
  fixture.fleet.hosts[0]->server_updates.Publish(
      ServerUpdateOf(state::ServerPhase::kWarm, "i1"));
  fixture.fleet.Run(state::Milliseconds(60'000));
  for (const std::unique_ptr<FleetHost>& host : fixture.fleet.hosts) {
    CHECK(host->server_updates.TakeServerUpdates().empty());
  }
}

}  // namespace
}  // namespace banyanknot::coordination::fleet_testing
