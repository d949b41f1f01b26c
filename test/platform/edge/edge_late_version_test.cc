#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <thread>

#include "platform/edge/edge_fleet.h"

// Runs edge programs whose connections to the store go silent, and checks when
// they have new routes in force.
namespace banyanknot::platform::edge_testing {
namespace {

using std::chrono::steady_clock;
using TimePoint = steady_clock::time_point;

// Guards against the silence being noticed only by a watch that begins after
// the pause that follows a change.
TEST_CASE("A version is in time where the store went silent after a change") {
  EdgeFleet fleet;
  REQUIRE(fleet.Start());
  fleet.PutOldRoutes(3);
  REQUIRE(fleet.WaitForVersion(3));
  fleet.SilenceStoreOf(0);
  const TimePoint silent_at = steady_clock::now();
  fleet.PutNewRoutes(4);
  CHECK(fleet.OldAnswersInTime(steady_clock::now(), silent_at) == "");
}

// Guards against a follower that has to watch the store itself waiting on a
// connection that went silent long ago.
TEST_CASE("A follower doesn't rely on an old silent connection to the store") {
  EdgeFleet fleet(5);
  REQUIRE(fleet.Start());
  const std::size_t follower = fleet.Size() - 1;
  // Later, its own connection would have been closed as idle.
  REQUIRE(WaitFor([&fleet, follower] {
    return fleet.Edge(follower).ReadMetric(
               "banyanknot_relay_watcher_calls_total") > 0;
  }));
  fleet.SilenceStoreOf(follower);
  std::this_thread::sleep_for(EdgeFleet::kContactTime);
  // The first two by id are the watchers.
  fleet.Edge(0).Signal(SIGSTOP);
  fleet.Edge(1).Signal(SIGSTOP);
  fleet.PutNewRoutes(4);
  const TimePoint written_at = steady_clock::now();
  CHECK(fleet.OldAnswersInTime(written_at, written_at - EdgeFleet::kContactTime,
                               follower) == "");
  fleet.Edge(0).Signal(SIGCONT);
  fleet.Edge(1).Signal(SIGCONT);
}

// Guards against a follower that waits until its watcher's view is stale.
TEST_CASE(
    "Followers get a version in time where their watcher lost the store") {
  EdgeFleet fleet(5);
  REQUIRE(fleet.Start());
  REQUIRE(fleet.WaitUntilFollowing());
  fleet.SilenceStoreOf(0);
  fleet.SilenceStoreOf(1);
  fleet.PutNewRoutes(4);
  const TimePoint written_at = steady_clock::now();
  CHECK(fleet.OldAnswersInTime(written_at, written_at - EdgeFleet::kContactTime,
                               2) == "");
}

// Guards against changes that are more than one answer may hold being asked for
// in one answer again and again.
TEST_CASE("A burst of large versions after a silence is caught up with") {
  constexpr std::uint64_t kVersions = 60;
  constexpr std::size_t kMoreRoutes = 400;
  EdgeFleet fleet;
  REQUIRE(fleet.Start());
  fleet.Edge(0).Signal(SIGSTOP);
  for (std::uint64_t version = 3; version < 3 + kVersions; ++version) {
    fleet.PutNewRoutes(version, kMoreRoutes);
  }
  fleet.Edge(0).Signal(SIGCONT);
  const TimePoint resumed_at = steady_clock::now();
  CHECK(fleet.OldAnswersInTime(resumed_at, resumed_at) == "");
  CHECK(fleet.Edge(0).ReadMetric("banyanknot_routes_version") == 2 + kVersions);
}

}  // namespace
}  // namespace banyanknot::platform::edge_testing
