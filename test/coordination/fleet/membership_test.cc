#include "banyanknot/coordination/fleet/membership.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "coordination/fleet/support/fleet_host.h"

namespace banyanknot::coordination::fleet_testing {
namespace {

constexpr state::Duration kSettleTime = state::Milliseconds(30'000);

bool SeesAllAlive(const FleetFixture& fleet, const FleetHost& host) {
  for (const std::unique_ptr<FleetHost>& other : fleet.hosts) {
    if (other.get() == &host) continue;
    if (host.StateOf(*other) != state::HostState::kAlive) return false;
  }
  return true;
}

void RequireAllAlive(const FleetFixture& fleet) {
  for (const std::unique_ptr<FleetHost>& host : fleet.hosts) {
    REQUIRE(SeesAllAlive(fleet, *host));
  }
}

struct Fixture {
  Fixture(std::size_t hosts, std::size_t domains, std::uint64_t seed)
      : fleet(hosts, domains, seed) {
    this->fleet.platform.Put("domain/d0", "in");
    this->fleet.Start();
    this->fleet.Run(kSettleTime);
    RequireAllAlive(this->fleet);
  }
  FleetFixture fleet;
};

TEST_CASE("Hosts discover each other after a start and none is declared dead") {
  struct Case {
    std::size_t hosts;
    std::size_t domains;
    std::uint64_t loss_permille;
  };
  const std::vector<Case> cases{{2, 1, 0}, {9, 3, 0}, {9, 4, 50}, {30, 6, 20}};
  for (const Case& item : cases) {
    INFO(item.hosts << " hosts, loss " << item.loss_permille);
    FleetFixture fleet(item.hosts, item.domains, 3);
    fleet.platform.Put("domain/d0", "in");
    fleet.network.loss_permille = item.loss_permille;
    fleet.Start();
    fleet.Run(state::Milliseconds(300'000));
    for (const std::unique_ptr<FleetHost>& host : fleet.hosts) {
      for (const std::unique_ptr<FleetHost>& other : fleet.hosts) {
        if (host == other) continue;
        CHECK(host->StateOf(*other) != state::HostState::kDead);
      }
    }
  }
}

TEST_CASE("A killed host is dead to all within the suspicion timeout") {
  Fixture fixture(9, 3, 4);
  FleetHost& killed = *fixture.fleet.hosts[8];
  killed.Kill();
  const state::Duration bound = state::Milliseconds(12'000);
  CHECK(fixture.fleet.RunUntilAll(bound, [&killed](const FleetHost& host) {
    return &host == &killed || host.StateOf(killed) == state::HostState::kDead;
  }) <= bound);
}

TEST_CASE("One failed link leaves every host alive in all views") {
  Fixture fixture(9, 3, 5);
  const state::Endpoint first = fixture.fleet.hosts[0]->identity.self.peer;
  const state::Endpoint second = fixture.fleet.hosts[1]->identity.self.peer;
  fixture.fleet.network.is_cut = [first, second](const state::Endpoint& from,
                                                 const state::Endpoint& to) {
    return from == first && to == second;
  };
  for (int elapsed_s = 0; elapsed_s < 120; ++elapsed_s) {
    fixture.fleet.Run(state::Milliseconds(1'000));
    RequireAllAlive(fixture.fleet);
  }
}

TEST_CASE("A paused host that resumes is alive again") {
  Fixture fixture(9, 3, 6);
  FleetHost& paused = *fixture.fleet.hosts[4];
  paused.SetPaused(true);
  fixture.fleet.Run(state::Milliseconds(20'000));
  CHECK(fixture.fleet.hosts[0]->StateOf(paused) == state::HostState::kDead);
  paused.SetPaused(false);
  const state::Duration bound = state::Milliseconds(15'000);
  CHECK(fixture.fleet.RunUntilAll(bound, [&](const FleetHost& host) {
    return SeesAllAlive(fixture.fleet, host);
  }) <= bound);
}

TEST_CASE("Partitions rejoin after the network heals") {
  Fixture fixture(12, 3, 7);
  fixture.fleet.CutFromPeers(1);
  fixture.fleet.Run(state::Milliseconds(3'600'000));
  CHECK(fixture.fleet.hosts[0]->StateOf(*fixture.fleet.hosts[1]) ==
        state::HostState::kDead);
  fixture.fleet.Heal();
  const state::Duration bound = state::Milliseconds(60'000);
  CHECK(fixture.fleet.RunUntilAll(bound, [&](const FleetHost& host) {
    return SeesAllAlive(fixture.fleet, host);
  }) <= bound);
}

TEST_CASE("A goodbye is final for that incarnation, whatever the list says") {
  Fixture fixture(9, 3, 8);
  FleetHost& leaving_host = *fixture.fleet.hosts[2];
  leaving_host.membership.AnnounceLeaving(state::Milliseconds(500));
  const auto has_left = [&leaving_host](const FleetHost& host) {
    return &host == &leaving_host ||
           host.StateOf(leaving_host) == state::HostState::kLeft;
  };
  const state::Duration bound = state::Milliseconds(1'000);
  CHECK(fixture.fleet.RunUntilAll(bound, has_left) <= bound);
  for (int minute = 0; minute < 5; ++minute) {
    fixture.fleet.Run(state::Milliseconds(60'000));
    CHECK(fixture.fleet.RunUntilAll(state::Duration(0), has_left) ==
          state::Duration(0));
  }
}

TEST_CASE("A new incarnation after a goodbye is alive") {
  Fixture fixture(6, 3, 9);
  FleetHost& leaving_host = *fixture.fleet.hosts[2];
  leaving_host.membership.AnnounceLeaving(state::Milliseconds(100));
  fixture.fleet.Run(state::Milliseconds(2'000));
  leaving_host.Kill();
  FleetHost& restarted = fixture.fleet.Add(2, 2, 2);
  restarted.Start();
  fixture.fleet.Run(state::Milliseconds(10'000));
  CHECK(fixture.fleet.hosts[0]->StateOf(restarted) == state::HostState::kAlive);
}

TEST_CASE("A new host at an address takes the old one's place") {
  Fixture fixture(6, 3, 10);
  FleetHost& old_host = *fixture.fleet.hosts[5];
  old_host.Kill();
  state::HostIdentity identity = old_host.identity;
  identity.self.id = state::HostId("h99");
  fixture.fleet.hosts.push_back(std::make_unique<FleetHost>(
      fixture.fleet.time, fixture.fleet.network, fixture.fleet.platform,
      identity,
      std::vector<state::Endpoint>{fixture.fleet.hosts[0]->identity.self.peer},
      77));
  FleetHost& new_host = *fixture.fleet.hosts.back();
  new_host.Start();
  fixture.fleet.Run(state::Milliseconds(15'000));
  CHECK(fixture.fleet.hosts[0]->StateOf(new_host) == state::HostState::kAlive);
  CHECK(fixture.fleet.hosts[0]->StateOf(old_host) == state::HostState::kDead);
}

TEST_CASE("A flapping host is alive once it stays up") {
  Fixture fixture(9, 3, 11);
  FleetHost& flapping = *fixture.fleet.hosts[3];
  for (int round = 0; round < 5; ++round) {
    flapping.SetPaused(true);
    fixture.fleet.Run(state::Milliseconds(4'000));
    flapping.SetPaused(false);
    fixture.fleet.Run(state::Milliseconds(3'000));
  }
  const state::Duration bound = state::Milliseconds(15'000);
  CHECK(fixture.fleet.RunUntilAll(bound, [&](const FleetHost& host) {
    return SeesAllAlive(fixture.fleet, host);
  }) <= bound);
}

TEST_CASE("Replacing the whole fleet leaves no records of the old one") {
  Fixture fixture(9, 3, 12);
  FleetFixture& fleet = fixture.fleet;
  for (std::size_t number = 0; number < 9; ++number) {
    FleetHost& new_host = fleet.Add(100 + number, number % 3, 1);
    new_host.Start();
    fleet.Run(state::Milliseconds(5'000));
    FleetHost& leaving_host = *fleet.hosts[number];
    leaving_host.membership.AnnounceLeaving(state::Milliseconds(100));
    fleet.Run(state::Milliseconds(2'000));
    leaving_host.Kill();
    fleet.platform.hosts.erase(fleet.platform.hosts.begin());
    fleet.platform.hosts.push_back(new_host.identity.self);
  }
  fleet.Run(state::Milliseconds(3'600'000));
  for (std::size_t index = 9; index < fleet.hosts.size(); ++index) {
    CHECK(fleet.hosts[index]->hosts.Size() == 8);
    CHECK(fleet.hosts[index]->TextOf("domain/d0") == "in");
  }
}

TEST_CASE("The bytes that a host sends do not grow with the fleet") {
  std::vector<double> rates;
  for (const std::size_t hosts : {24U, 60U}) {
    Fixture fixture(hosts, 6, 13);
    fixture.fleet.Run(state::Milliseconds(120'000));
    const std::uint64_t before = fixture.fleet.hosts[0]->budget.Total();
    fixture.fleet.Run(state::Milliseconds(100'000));
    rates.push_back(
        static_cast<double>(fixture.fleet.hosts[0]->budget.Total() - before) /
        100.0);
  }
  INFO("bytes a second: " << rates[0] << " and " << rates[1]);
  CHECK(rates[1] <= 1.5 * rates[0]);
  CHECK(rates[1] <= 2'048.0);
}

}  // namespace
}  // namespace banyanknot::coordination::fleet_testing
