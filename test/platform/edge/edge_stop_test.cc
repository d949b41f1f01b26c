#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "platform/edge/edge_world.h"
#include "platform/edge/raw_caller.h"
#include "platform/wire_names.h"

// Stops edge programs while requests wait, arrive slowly or are at servers that
// take longer than the stop.
namespace banyanknot::platform::edge_testing {
namespace {

using Response = RawCaller::Response;

constexpr state::Duration kLeaveGrace = state::Milliseconds(400);
constexpr state::Duration kStopBound = state::Milliseconds(1'600);
constexpr state::Duration kExitTimeout = state::Milliseconds(15'000);
/// Longer than any stop here; requests have a deadline of 2 s.
constexpr state::Duration kLongService = state::Milliseconds(10'000);

struct StoppingWorld {
  StoppingWorld()
      : edge("edge-1", "a", world.Store().Address(), world.Ports()) {
    this->edge.SetStopTimes(kLeaveGrace, kStopBound);
    this->edge.Start();
    REQUIRE(WaitFor([this] { return this->edge.IsReady(); }));
  }
  void SetServiceTime(state::Duration time) {
    for (const std::unique_ptr<ServerStandIn>& server : this->world.Servers()) {
      server->SetServiceTime(time);
    }
  }

  EdgeWorld world;
  EdgeProcess edge;
};

// Guards against requests that are at a server, or wait here for one, being cut
// at the end of the stop without an answer.
TEST_CASE("Requests that outlast a planned stop are answered") {
  StoppingWorld stopping;
  stopping.SetServiceTime(kLongService);
  std::vector<std::unique_ptr<RawCaller>> callers;
  // More than the servers take at a time, so that some wait at the edge.
  for (int index = 0; index < 40; ++index) {
    const char* targets[] = {"/once/1", "/desk/1", "/all/1"};
    callers.push_back(std::make_unique<RawCaller>(stopping.edge.Callers()));
    callers.back()->Write(RawCaller::Request(targets[index % 3],
                                             "long-" + std::to_string(index)));
  }
  REQUIRE(WaitFor([&] { return stopping.world.RunsOf("long-0") > 0; }));
  stopping.edge.Signal(SIGTERM);
  for (std::size_t index = 0; index < callers.size(); ++index) {
    const std::string id = "long-" + std::to_string(index);
    INFO(id);
    const unsigned status = StatusOf(callers[index]->Read());
    CHECK((status == 502 || status == 503 || status == 504));
    if (status == 503) CHECK(stopping.world.RunsOf(id) == 0);
  }
  CHECK(stopping.edge.WaitForExit(kExitTimeout) == 0);
}

// Guards against requests that arrive late in a stop being passed on and then
// cut.
TEST_CASE(
    "Requests that arrive late in a planned stop are finished or refused") {
  StoppingWorld stopping;
  const std::string once = RawCaller::Request("/once/1", "late-once");
  const std::string fast = RawCaller::Request("/desk/1", "late-fast");
  const std::string slow = RawCaller::Request("/desk/1", "late-slow");
  RawCaller once_caller(stopping.edge.Callers());
  RawCaller fast_caller(stopping.edge.Callers());
  RawCaller slow_caller(stopping.edge.Callers());
  once_caller.Write(once.substr(0, once.size() / 2));
  fast_caller.Write(fast.substr(0, fast.size() / 2));
  slow_caller.Write(slow.substr(0, slow.size() / 2));
  // The edge has read the first bytes once it serves what came after them.
  RawCaller last(stopping.edge.Callers());
  REQUIRE(StatusOf(last.Call("/desk/1", "before")) == 200);
  stopping.edge.Signal(SIGTERM);
  REQUIRE(WaitFor([&] { return !stopping.edge.IsReady(); }));
  // The last third of the stop.
  std::this_thread::sleep_for(std::chrono::milliseconds(800));
  fast_caller.Write(fast.substr(fast.size() / 2));
  CHECK(StatusOf(fast_caller.Read()) == 200);
  stopping.SetServiceTime(kLongService);
  once_caller.Write(once.substr(once.size() / 2));
  slow_caller.Write(slow.substr(slow.size() / 2));
  const std::optional<Response> refused = once_caller.Read();
  CHECK(StatusOf(refused) == 503);
  CHECK(stopping.world.RunsOf("late-once") == 0);
  if (refused) CHECK_FALSE((*refused)[wire::kRetryAfter].empty());
  const unsigned status = StatusOf(slow_caller.Read());
  CHECK((status == 503 || status == 504));
  CHECK(stopping.edge.WaitForExit(kExitTimeout) == 0);
}

// Guards against a stop that outlasts the platform's patience.
TEST_CASE("A stop ends before the process would be killed") {
  constexpr state::Duration kGrace = state::Milliseconds(2'000);
  EdgeWorld world;
  EdgeProcess edge("edge-1", "a", world.Store().Address(), world.Ports());
  edge.SetStopGrace(2.0);
  edge.Start();
  REQUIRE(WaitFor([&edge] { return edge.IsReady(); }));
  for (const std::unique_ptr<ServerStandIn>& server : world.Servers()) {
    server->SetServiceTime(kLongService);
  }
  RawCaller caller(edge.Callers());
  caller.Write(RawCaller::Request("/once/1", "outlasting"));
  REQUIRE(WaitFor([&world] { return world.RunsOf("outlasting") > 0; }));
  edge.Signal(SIGTERM);
  CHECK(edge.WaitForExit(kGrace) == 0);
  CHECK(StatusOf(caller.Read()) == 504);
}

}  // namespace
}  // namespace banyanknot::platform::edge_testing
