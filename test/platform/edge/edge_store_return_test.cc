#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "platform/edge/edge_fleet.h"
#include "platform/wire_names.h"

// Runs edge programs beside a store that returns from a copy some seconds old,
// without what was written since, and gives revisions out again.
namespace banyanknot::platform::edge_testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using TimePoint = steady_clock::time_point;

/// Time from the store's return until what it lost is written again.
constexpr milliseconds kRewriteTime(1'000);
constexpr milliseconds kAwayTime(300);
constexpr milliseconds kPauseBetweenCalls(10);

constexpr const char* kMoved = EdgeFleet::kMoved;
constexpr const char* kOldServer = EdgeFleet::kOldServer;

/// How the store returns.
enum class ReturnKind {
  kAtOnce,   ///< only cuts the open watches
  kAfterGap  ///< refuses all calls for a while first
};

/// Lets the store return from a copy and writes to it before an edge asks.
/// \returns the time of the return
TimePoint Return(
    EdgeFleet& fleet, ReturnKind kind, const StoreCopy& copy,
    const std::function<void()>& write = [] {}) {
  if (kind == ReturnKind::kAfterGap) {
    fleet.Store().SetMode(StoreMode::kRefusing);
    std::this_thread::sleep_for(kAwayTime);
  }
  fleet.Store().ReturnFromCopy(copy);
  write();
  fleet.Store().SetMode(StoreMode::kUp);
  return steady_clock::now();
}

/// Publishes a version at a revision that the edges had already reached before
/// the store returned, and checks that they get it.
void CheckReusedRevision(EdgeFleet& fleet, ReturnKind kind) {
  const StoreCopy copy = fleet.Store().TakeCopy();
  fleet.RegisterServers();
  fleet.PutOldRoutes(3);
  const std::uint64_t reached = fleet.Store().Revision();
  REQUIRE(fleet.WaitForVersion(3));
  const TimePoint returned_at = Return(fleet, kind, copy, [&fleet] {
    fleet.PutNewRoutes(4);
    fleet.RegisterServers();
  });
  REQUIRE(fleet.Store().Revision() == reached);
  CHECK(fleet.OldAnswersInTime(returned_at, returned_at) == "");
}

TEST_CASE("A version at a revision given out again is not skipped") {
  EdgeFleet fleet;
  REQUIRE(fleet.Start());
  CheckReusedRevision(fleet, ReturnKind::kAfterGap);
}

TEST_CASE("A version is not skipped where only the watches were cut") {
  EdgeFleet fleet;
  REQUIRE(fleet.Start());
  CheckReusedRevision(fleet, ReturnKind::kAtOnce);
}

TEST_CASE("Hosts that follow others skip no version of a returned store") {
  EdgeFleet fleet(5);
  REQUIRE(fleet.Start());
  REQUIRE(fleet.WaitUntilFollowing());
  CheckReusedRevision(fleet, ReturnKind::kAfterGap);
}

TEST_CASE("A store that returns behind the hosts' revision is read anew") {
  for (const bool has_era : {true, false}) {
    INFO(has_era);
    EdgeFleet fleet;
    REQUIRE(fleet.Start());
    if (!has_era) fleet.Store().HideEra();
    const StoreCopy copy = fleet.Store().TakeCopy();
    fleet.RegisterServers();
    fleet.PutOldRoutes(3);
    REQUIRE(fleet.WaitForVersion(3));
    const TimePoint returned_at = Return(fleet, ReturnKind::kAfterGap, copy,
                                         [&fleet] { fleet.PutNewRoutes(4); });
    CHECK(fleet.OldAnswersInTime(returned_at, returned_at) == "");
  }
}

// Guards against the routes of the copy replacing newer ones until these are
// written again.
TEST_CASE("The version of an older copy doesn't come back") {
  for (const ReturnKind kind : {ReturnKind::kAtOnce, ReturnKind::kAfterGap}) {
    INFO(static_cast<int>(kind));
    EdgeFleet fleet;
    REQUIRE(fleet.Start());
    const StoreCopy copy = fleet.Store().TakeCopy();
    fleet.PutNewRoutes(3);
    REQUIRE(fleet.WaitForVersion(3));
    const TimePoint rewritten_at = Return(fleet, kind, copy) + kRewriteTime;
    while (steady_clock::now() < rewritten_at) {
      CHECK(fleet.OldAnswers(0) == "");
      std::this_thread::sleep_for(kPauseBetweenCalls);
    }
    fleet.PutNewRoutes(3);
    CHECK(fleet.OldAnswersInTime(steady_clock::now(), rewritten_at) == "");
    fleet.PutOldRoutes(4);
    CHECK(fleet.WaitForVersion(4));
    CHECK(fleet.Run(0, kMoved) == kOldServer);
  }
}

/// Checks that no server runs a request, from the store's return from `copy`
/// until `rewrite` has written again what keeps requests away, and afterwards.
void CheckNothingRuns(EdgeFleet& fleet, ReturnKind kind, const StoreCopy& copy,
                      const std::function<void()>& rewrite) {
  REQUIRE(WaitFor([&fleet] { return fleet.Run(0, kMoved) == "503"; }));
  const std::size_t runs = fleet.World().Server(2).Runs();
  const TimePoint rewritten_at = Return(fleet, kind, copy) + kRewriteTime;
  const TimePoint end = rewritten_at + EdgeFleet::kContactTime;
  bool is_rewritten = false;
  while (steady_clock::now() < end) {
    fleet.Run(0, kMoved);
    if (!is_rewritten && steady_clock::now() >= rewritten_at) {
      rewrite();
      is_rewritten = true;
    }
    std::this_thread::sleep_for(kPauseBetweenCalls);
  }
  CHECK(fleet.World().Server(2).Runs() == runs);
}

TEST_CASE("A domain out of service stays out while the store lacks that") {
  for (const ReturnKind kind : {ReturnKind::kAtOnce, ReturnKind::kAfterGap}) {
    INFO(static_cast<int>(kind));
    EdgeFleet fleet;
    REQUIRE(fleet.Start());
    const StoreCopy copy = fleet.Store().TakeCopy();
    const std::function<void()> take_out = [&fleet] {
      fleet.Store().Put(std::string(wire::kDomainOutPrefix) + "a",
                        nlohmann::json::object());
    };
    take_out();
    CheckNothingRuns(fleet, kind, copy, take_out);
  }
}

TEST_CASE(
    "A leaving server gets nothing while the store lacks that it leaves") {
  for (const ReturnKind kind : {ReturnKind::kAtOnce, ReturnKind::kAfterGap}) {
    INFO(static_cast<int>(kind));
    EdgeFleet fleet;
    REQUIRE(fleet.Start());
    const StoreCopy copy = fleet.Store().TakeCopy();
    const std::function<void()> leave = [&fleet] {
      const ServerStandIn& server = fleet.World().Server(2);
      fleet.Store().Put(
          wire::kServerPrefix + server.Id(),
          {{"Service", "shard0"},
           {"Address", "127.0.0.1:" + std::to_string(server.Port())},
           {"Zone", "a"},
           {"Slots", 8},
           {"State", "draining"},
           {"born", 1}});
    };
    leave();
    CheckNothingRuns(fleet, kind, copy, leave);
  }
}

TEST_CASE("A server that the copy lacks is in use until it registers again") {
  for (const ReturnKind kind : {ReturnKind::kAtOnce, ReturnKind::kAfterGap}) {
    INFO(static_cast<int>(kind));
    EdgeFleet fleet;
    REQUIRE(fleet.Start());
    const ServerStandIn& server = fleet.World().Server(2);
    fleet.Store().Delete(wire::kServerPrefix + server.Id());
    REQUIRE(WaitFor([&fleet] { return fleet.Run(0, kMoved) == "503"; }));
    const StoreCopy copy = fleet.Store().TakeCopy();
    fleet.World().Register(server);
    REQUIRE(WaitFor([&fleet] { return fleet.Run(0, kMoved) == kOldServer; }));
    const TimePoint rewritten_at = Return(fleet, kind, copy) + kRewriteTime;
    while (steady_clock::now() < rewritten_at) {
      CHECK(fleet.Run(0, kMoved) == kOldServer);
      std::this_thread::sleep_for(kPauseBetweenCalls);
    }
    fleet.World().Register(server);
    std::this_thread::sleep_until(rewritten_at + EdgeFleet::kContactTime);
    CHECK(fleet.Run(0, kMoved) == kOldServer);
  }
}

}  // namespace
}  // namespace banyanknot::platform::edge_testing
