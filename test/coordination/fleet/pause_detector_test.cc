#include "banyanknot/coordination/fleet/pause_detector.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/fleet/support/fleet_host.h"

namespace banyanknot::coordination::fleet_testing {
namespace {

constexpr state::Duration kSettleTime = state::Milliseconds(10'000);

struct Fixture {
  explicit Fixture(std::uint64_t seed) : fleet(9, 3, seed) {
    this->fleet.platform.Put("domain/d0", "in");
    this->fleet.Start();
    this->fleet.Run(kSettleTime);
  }
  ViewFreshness FreshnessOf(std::size_t host) {
    return this->fleet.hosts[host]->guard.Freshness();
  }
  FleetFixture fleet;
};

TEST_CASE("The view stays fresh while the platform or peers answer") {
  struct Case {
    const char* name;
    bool is_platform_down;
    bool are_peers_cut;
    ViewFreshness expected;
  };
  const std::vector<Case> cases{
      {"all up", false, false, ViewFreshness::kFresh},
      {"platform down", true, false, ViewFreshness::kFresh},
      {"peers cut", false, true, ViewFreshness::kFresh},
      {"both", true, true, ViewFreshness::kOwnDomainOnly},
  };
  for (const Case& item : cases) {
    INFO(item.name);
    Fixture fixture(21);
    fixture.fleet.platform.SetDown(item.is_platform_down);
    if (item.are_peers_cut) fixture.fleet.CutFromPeers(1);
    for (int step = 0; step < 600; ++step) {
      fixture.fleet.Run(state::Milliseconds(100));
      if (step >= 40) REQUIRE(fixture.FreshnessOf(1) == item.expected);
    }
    fixture.fleet.platform.SetDown(false);
    fixture.fleet.Heal();
    fixture.fleet.Run(state::Milliseconds(5'000));
    CHECK(fixture.FreshnessOf(1) == ViewFreshness::kFresh);
  }
}

TEST_CASE("An isolated host falls back to its own domain within 3 s") {
  Fixture fixture(22);
  fixture.fleet.platform.SetDown(true);
  fixture.fleet.CutFromPeers(1);
  fixture.fleet.Run(state::Milliseconds(3'000));
  CHECK(fixture.FreshnessOf(1) == ViewFreshness::kOwnDomainOnly);
}

TEST_CASE("A resumed host refreshes its view before it becomes fresh") {
  Fixture fixture(23);
  FleetHost& paused = *fixture.fleet.hosts[4];
  paused.SetPaused(true);
  fixture.fleet.Run(state::Milliseconds(4'000));
  fixture.fleet.platform.Put("domain/d0", "out");
  fixture.fleet.Run(state::Milliseconds(4'000));
  CHECK(paused.guard.Freshness() == ViewFreshness::kStale);
  CHECK(paused.TextOf("domain/d0") == "in");
  paused.SetPaused(false);
  state::Duration taken{0};
  while (!paused.guard.IsFresh() && taken < state::Milliseconds(3'000)) {
    fixture.fleet.Run(state::Milliseconds(10));
    taken += state::Milliseconds(10);
  }
  CHECK(taken < state::Milliseconds(1'000));
  CHECK(paused.TextOf("domain/d0") == "out");
}

// Guards against a read from the newest revision that peers told of, which
// leaves out what they did not, and confirms the view all the same.
TEST_CASE("A host that missed a change among its peers' is not made fresh") {
  Fixture fixture(25);
  std::vector<std::unique_ptr<FleetHost>>& hosts = fixture.fleet.hosts;
  const auto found = std::find_if(hosts.begin(), hosts.end(),
                                  [](const std::unique_ptr<FleetHost>& host) {
                                    return !host->follower.IsWatcher();
                                  });
  REQUIRE(found != hosts.end());
  FleetHost& paused = **found;
  FleetHost& peer = *hosts[found == hosts.begin() ? 1 : 0];
  paused.SetPaused(true);
  fixture.fleet.network.is_cut = [&paused](const state::Endpoint& from,
                                           const state::Endpoint& to) {
    const std::string cut = state::ToText(paused.identity.self.peer);
    return state::ToText(from) == cut || state::ToText(to) == cut;
  };
  fixture.fleet.platform.Put("domain/d0", "out");
  fixture.fleet.platform.Put("domain/d1", "out");
  fixture.fleet.Run(state::Milliseconds(4'000));
  const std::optional<state::CatalogueRecord> second =
      peer.catalogue.Find("domain/d1");
  REQUIRE(second.has_value());
  paused.anti_entropy.OnPeerMessage({peer.identity.self.id,
                                     peer.identity.incarnation,
                                     PeerPatches{{WholePatch(*second)}}});
  paused.SetPaused(false);
  state::Duration taken{0};
  while (!paused.guard.IsFresh() && taken < state::Milliseconds(3'000)) {
    fixture.fleet.Run(state::Milliseconds(10));
    taken += state::Milliseconds(10);
  }
  CHECK(paused.guard.IsFresh());
  CHECK(paused.TextOf("domain/d1") == "out");
  CHECK(paused.TextOf("domain/d0") == "out");
}

TEST_CASE("A host that resumes isolated uses its own failure domain only") {
  Fixture fixture(24);
  FleetHost& paused = *fixture.fleet.hosts[4];
  paused.SetPaused(true);
  fixture.fleet.platform.SetDown(true);
  fixture.fleet.network.is_cut = [](const state::Endpoint& /*from*/,
                                    const state::Endpoint& /*to*/) {
    return true;
  };
  fixture.fleet.Run(state::Milliseconds(5'000));
  paused.SetPaused(false);
  CHECK(paused.guard.Freshness() == ViewFreshness::kStale);
  fixture.fleet.Run(state::Milliseconds(1'500));
  CHECK(paused.guard.Freshness() == ViewFreshness::kOwnDomainOnly);
}

TEST_CASE("The view of a single-host fleet stays fresh") {
  FleetFixture fleet(1, 1, 25);
  fleet.platform.Put("domain/d0", "in");
  fleet.Start();
  fleet.Run(kSettleTime);
  fleet.platform.SetDown(true);
  fleet.Run(kSettleTime);
  CHECK(fleet.hosts[0]->guard.IsFresh());
}

}  // namespace
}  // namespace banyanknot::coordination::fleet_testing
