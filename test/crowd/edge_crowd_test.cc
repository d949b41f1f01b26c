#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "crowd/caller_crowd.h"
#include "platform/edge/edge_world.h"
#include "platform/edge/raw_caller.h"
#include "platform/wire_names.h"
#include "temporary_folder.h"

// Runs the edge program as a process of little memory and few descriptors
// against crowds of callers that keep to no limit.
namespace banyanknot::crowd_testing {
namespace {

using platform::edge_testing::EdgeProcess;
using platform::edge_testing::EdgeWorld;
using platform::edge_testing::RawCaller;
using platform::edge_testing::ServerStandIn;
using platform::edge_testing::StatusOf;
using platform::edge_testing::WaitFor;

/// What the process is told that its machine has.
constexpr std::size_t kMemoryMb = 32;
constexpr std::size_t kMaxResidentKb = kMemoryMb << 10;
/// How much more than before the process may hold once a crowd has left.
constexpr std::size_t kMaxKeptKb = 8u << 10;
constexpr std::size_t kMaxDescriptors = 160;
/// Left for servers, other hosts and the source.
constexpr std::size_t kReservedDescriptors = 16;
constexpr std::size_t kMaxBodyBytes = 256u << 10;
/// Longer than any crowd here takes to send its bytes.
constexpr state::Duration kHeadTimeout = state::Milliseconds(120'000);

std::string ChunkedHead() {
  return std::string("POST /desk/1 HTTP/1.1\r\nHost: ") + EdgeWorld::kHost +
         "\r\n" + platform::wire::kRequestId + ": crowd\r\n" +
         "Transfer-Encoding: chunked\r\n\r\n";
}

struct CrowdWorld {
  CrowdWorld()
      : edge("edge-1", "a", world.Store().Address(), world.Ports(),
             log_folder.Path() + "/log") {
    this->world.PutRoutes(2, kMaxBodyBytes, kHeadTimeout);
    this->edge.SetMemory(kMemoryMb);
  }
  void Start() {
    this->edge.Start();
    REQUIRE(WaitFor([this] { return this->edge.IsReady(); }));
    REQUIRE(this->ServesOrdinaryRequests());
    this->resident_before_kb = this->edge.ResidentKb();
  }
  bool ServesOrdinaryRequests() {
    return WaitFor([this] {
      RawCaller caller(this->edge.Callers());
      return StatusOf(caller.Call("/all/1", "0123456789abcdef")) == 200;
    });
  }
  void CheckSound() {
    CHECK_FALSE(this->edge.WaitForExit(state::Duration(0)));
    CHECK(this->edge.PeakResidentKb() < kMaxResidentKb);
    CHECK(this->edge.OpenDescriptors() <= this->max_open_descriptors);
  }
  /// Sends a crowd's bytes; checks the process and an ordinary request while
  /// the crowd stays and after it has left.
  void Withstand(CallerCrowd& crowd) {
    REQUIRE(WaitForCrowd(crowd));
    this->WaitUntilIdle();
    this->CheckSound();
    CHECK(this->ServesOrdinaryRequests());
    crowd.Leave();
    CHECK(this->ServesOrdinaryRequests());
    this->CheckSound();
  }
  /// Waits until the process has read what it was sent.
  void WaitUntilIdle() {
    constexpr std::chrono::milliseconds kIdleTime{1'500};
    constexpr std::uint64_t kIdleTicks = 5;
    std::uint64_t before = 0;
    std::uint64_t after = this->edge.ProcessorTicks();
    do {
      before = after;
      std::this_thread::sleep_for(kIdleTime);
      after = this->edge.ProcessorTicks();
    } while (after - before > kIdleTicks);
  }
  void CheckMemoryIsReturned() {
    CHECK(WaitFor([this] {
      return this->edge.ResidentKb() <= this->resident_before_kb + kMaxKeptKb;
    }));
  }
  static bool WaitForCrowd(const CallerCrowd& crowd) {
    constexpr int kMaxWaits = 15;
    for (int waits = 0; waits < kMaxWaits; ++waits) {
      if (WaitFor([&crowd] { return crowd.IsSettled(); })) return true;
    }
    return false;
  }

  standins::TemporaryFolder log_folder;
  EdgeWorld world;
  EdgeProcess edge;
  std::size_t resident_before_kb = 0;
  /// The smallest hosts have 4,100.
  std::size_t max_open_descriptors = 4'000;
};

TEST_CASE("Trailers without end cost bounded memory") {
  CrowdWorld world;
  world.Start();
  const std::string field = "X-Trailer: " + std::string(1'000, 't') + "\r\n";
  CallerCrowd crowd(world.edge.Callers(), 8,
                    {ChunkedHead() + "1\r\nx\r\n0\r\n", field, 16'000});
  world.Withstand(crowd);
}

TEST_CASE("A chunk extension without end costs bounded memory") {
  CrowdWorld world;
  world.Start();
  CallerCrowd crowd(world.edge.Callers(), 8,
                    {ChunkedHead() + "1;a=", std::string(1'000, 'e'), 16'000});
  world.Withstand(crowd);
}

TEST_CASE("Many bodies in large chunks that stop short cost bounded memory") {
  CrowdWorld world;
  world.Start();
  const std::string chunk = "4000\r\n" + std::string(16u << 10, 'b') + "\r\n";
  CallerCrowd crowd(world.edge.Callers(), 300, {ChunkedHead(), chunk, 15});
  world.Withstand(crowd);
  world.CheckMemoryIsReturned();
}

TEST_CASE("Many bodies in tiny chunks that stop short cost bounded memory") {
  CrowdWorld world;
  world.Start();
  std::string chunks;
  for (int count = 0; count < 1'000; ++count) chunks += "1\r\nx\r\n";
  CallerCrowd crowd(world.edge.Callers(), 300, {ChunkedHead(), chunks, 240});
  world.Withstand(crowd);
  world.CheckMemoryIsReturned();
}

TEST_CASE("Requests behind unread answers cost bounded memory") {
  CrowdWorld world;
  world.Start();
  std::string requests;
  for (int count = 0; count < 100; ++count) {
    requests += RawCaller::Request("/all/1", "0123456789abcdef");
  }
  CallerCrowd crowd(world.edge.Callers(), 40, {"", requests, 20}, 4'096);
  world.CheckSound();
  CHECK(world.ServesOrdinaryRequests());
  crowd.Leave();
  CHECK(world.ServesOrdinaryRequests());
  world.CheckSound();
}

TEST_CASE("Large answers that nobody reads cost bounded memory") {
  CrowdWorld world;
  const ServerStandIn large("d1", std::string(3u << 20, 'a'));
  world.world.Register(large);
  world.world.Store().Delete(std::string(platform::wire::kServerPrefix) + "d2");
  world.Start();
  REQUIRE(WaitFor([&world] {
    RawCaller caller(world.edge.Callers());
    return StatusOf(caller.Call("/desk/1", "read")) == 200;
  }));
  std::vector<std::unique_ptr<CallerCrowd>> callers;
  for (int count = 1; count <= 24; ++count) {
    callers.push_back(std::make_unique<CallerCrowd>(
        world.edge.Callers(), 1,
        CrowdBytes{RawCaller::Request("/desk/1", "large"), "", 0}, 4'096));
    // Apart, or the limit on replies that are being received cuts them.
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
  }
  world.CheckSound();
  CHECK(world.ServesOrdinaryRequests());
  callers.clear();
  CHECK(world.ServesOrdinaryRequests());
  world.CheckSound();
}

// Guards against connections that keep the memory of their longest answer,
// outside of all accounts, for as long as they are open.
TEST_CASE("Large answers that were read cost no memory on open connections") {
  CrowdWorld world;
  const ServerStandIn large("d1", std::string(1u << 20, 'a'));
  world.world.Register(large);
  world.world.Store().Delete(std::string(platform::wire::kServerPrefix) + "d2");
  world.Start();
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int count = 0; count < 60; ++count) {
    callers.push_back(std::make_unique<RawCaller>(world.edge.Callers()));
    CHECK(WaitFor([&callers] {
      return StatusOf(callers.back()->Call("/desk/1", "read")) == 200;
    }));
  }
  world.CheckSound();
  CHECK(world.ServesOrdinaryRequests());
}

TEST_CASE("Idle connections at each listener leave room for others") {
  for (const std::string listener : {"callers", "ready", "metrics", "peers"}) {
    INFO(listener);
    CrowdWorld world;
    world.edge.JoinFleet({world.edge.Peers()}, 1);
    world.edge.SetMaxDescriptors(kMaxDescriptors);
    world.max_open_descriptors = kMaxDescriptors - kReservedDescriptors;
    world.Start();
    const std::map<std::string, state::Endpoint> endpoints = {
        {"callers", world.edge.Callers()},
        {"ready", world.edge.ReadyAddress()},
        {"metrics", world.edge.Metrics()},
        {"peers", world.edge.Peers()}};
    CallerCrowd crowd(endpoints.at(listener), 2 * kMaxDescriptors, {"", "", 0});
    world.Withstand(crowd);
    CHECK(WaitFor([&world] { return world.edge.IsReady(); }));
  }
}

// A request at the limits is no crowd.
TEST_CASE("A single request of the largest body is served") {
  CrowdWorld world;
  world.Start();
  RawCaller caller(world.edge.Callers());
  CHECK(StatusOf(caller.Call("/desk/1", "largest", "POST",
                             std::string(kMaxBodyBytes, 'x'))) == 200);
  CHECK(world.world.RunsOf("largest") == 1);
  RawCaller tiny_chunks(world.edge.Callers());
  std::string chunked = ChunkedHead();
  for (std::size_t count = 0; count < kMaxBodyBytes; ++count) {
    chunked += "1\r\nx\r\n";
  }
  tiny_chunks.Write(chunked + "0\r\nX-Trailer: t\r\n\r\n");
  CHECK(StatusOf(tiny_chunks.Read()) == 200);
}

}  // namespace
}  // namespace banyanknot::crowd_testing
