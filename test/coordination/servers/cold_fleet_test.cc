#include "coordination/servers/cold_fleet.h"

#include <catch2/catch.hpp>
#include <functional>

namespace banyanknot::coordination::servers_test {
namespace {

using state::Milliseconds;

constexpr std::uint32_t kSeeds = 20;
constexpr int kHosts = 3;

struct FaultRow {
  std::string name;
  std::function<void(ColdFleet&)> fault;
};

void RunUntilWarm(ColdFleet& fleet) {
  fleet.Run(Milliseconds(8'000));
  REQUIRE(fleet.WarmHosts() > 0);
}

void ReplaceAllHosts(ColdFleet& fleet) {
  for (std::size_t index = 0; index < kHosts; ++index) {
    fleet.Kill(*fleet.hosts[index]);
  }
  for (int host = 0; host < kHosts; ++host) fleet.AddHost();
}

const std::vector<FaultRow>& FaultRows() {
  static const std::vector<FaultRow> rows{
      {"server restarts, unannounced", [](ColdFleet&) {}},
      {"an owner is killed while the server is cold",
       [](ColdFleet& fleet) { fleet.Kill(*fleet.hosts[0]); }},
      {"two owners are killed, one after the other",
       [](ColdFleet& fleet) {
         fleet.Kill(*fleet.hosts[0]);
         fleet.Run(Milliseconds(700));
         fleet.Kill(*fleet.hosts[1]);
       }},
      {"two hosts join, rosters differ",
       [](ColdFleet& fleet) {
         fleet.AddHost();
         fleet.Run(Milliseconds(300));
         fleet.AddHost();
       }},
      {"an owner is replaced by a host of another name",
       [](ColdFleet& fleet) {
         fleet.Kill(*fleet.hosts[2]);
         fleet.AddHost();
       }},
      {"an owner is paused, replaced and resumed",
       [](ColdFleet& fleet) {
         FleetHost& paused = *fleet.hosts[0];
         fleet.Pause(paused);
         fleet.Run(Milliseconds(6'000));
         fleet.Resume(paused);
       }},
      {"the server restarts again while it is cold",
       [](ColdFleet& fleet) {
         fleet.Run(Milliseconds(2'000));
         fleet.RestartServer();
       }},
  };
  return rows;
}

TEST_CASE("All hosts together never exceed the cold slots of a server") {
  for (const FaultRow& row : FaultRows()) {
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      INFO(row.name << ", seed " << seed);
      ColdFleet fleet(seed, kHosts, OwnershipTimes());
      RunUntilWarm(fleet);
      fleet.RestartServer();
      fleet.Run(Milliseconds(500));
      row.fault(fleet);
      fleet.Run(fleet.entry.warm_up + Milliseconds(5'000));
      CHECK(fleet.max_cold_in_flight <= fleet.entry.cold_slots);
      CHECK(fleet.max_cold_in_flight > 0);
    }
  }
}

TEST_CASE("New hosts detect a cold server that reports that it is warm") {
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    ColdFleet fleet(seed, kHosts, OwnershipTimes());
    RunUntilWarm(fleet);
    fleet.RestartServer();
    fleet.Run(Milliseconds(500));
    ReplaceAllHosts(fleet);
    fleet.Run(fleet.entry.warm_up + Milliseconds(5'000));
    // No host observed its start: the first slow-start step shows the overload.
    CHECK(fleet.max_cold_in_flight <= 2 * fleet.entry.cold_slots);
    CHECK(fleet.last_overload_at - fleet.first_overload_at <
          Milliseconds(1'000));
  }
}

TEST_CASE("A restarted server carries full load within 1.5 warm-ups") {
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    ColdFleet fleet(seed, kHosts, OwnershipTimes());
    RunUntilWarm(fleet);
    fleet.RestartServer();
    const state::Duration bound = fleet.entry.warm_up * 3 / 2;
    CHECK(fleet.RunUntilFull(bound) < bound);
  }
}

TEST_CASE("New hosts soon use a warm server when all hosts restart at once") {
  const state::Duration bound = Milliseconds(6'000);
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    ColdFleet fleet(seed, kHosts, OwnershipTimes());
    RunUntilWarm(fleet);
    ReplaceAllHosts(fleet);
    fleet.Run(Milliseconds(100));
    CHECK(fleet.RunUntilFull(bound) < bound);
    fleet.Run(Milliseconds(1'500));
    CHECK(fleet.WarmHosts() == kHosts);
  }
}

TEST_CASE("The check of cold slots fails if each host owns every slot") {
  ColdFleet fleet(1, kHosts, OwnershipTimes(), true);
  RunUntilWarm(fleet);
  fleet.RestartServer();
  fleet.Run(Milliseconds(5'000));
  CHECK(fleet.max_cold_in_flight > fleet.entry.cold_slots);
}

TEST_CASE("The check of cold slots fails for a takeover without delay") {
  OwnershipTimes no_delay;
  no_delay.takeover_delay = state::Duration(0);
  std::size_t most = 0;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    ColdFleet fleet(seed, kHosts, no_delay);
    fleet.Run(Milliseconds(3'000));
    fleet.RestartServer();
    fleet.Run(Milliseconds(500));
    fleet.AddHost();
    fleet.Kill(*fleet.hosts[0]);
    fleet.Run(Milliseconds(4'000));
    most = std::max(most, fleet.max_cold_in_flight);
  }
  CHECK(most > 2);
}

}  // namespace
}  // namespace banyanknot::coordination::servers_test
