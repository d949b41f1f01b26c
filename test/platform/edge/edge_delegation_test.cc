#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "platform/edge/edge_world.h"
#include "platform/edge/raw_caller.h"
#include "platform/edge/raw_server_stand_in.h"
#include "platform/wire_names.h"
#include "support/broken_heads.h"

// Runs a small and a roomy edge program side by side: the small one passes its
// gathers to the roomy one.
namespace banyanknot::platform::edge_testing {
namespace {

using Response = RawCaller::Response;

constexpr state::Duration kExitTimeout = state::Milliseconds(15'000);

/// An id as long as a record, of which gathered bodies consist.
std::string RequestId(int number) {
  std::string id = std::to_string(number);
  return std::string(16 - id.size(), '0') + id;
}

/// Tells an edge of a roomy host of its domain.
void Advertise(const EdgeProcess& edge, const std::string& host,
               std::uint16_t port) {
  standins::BlockingHttpClient client(state::Milliseconds(2'000));
  const std::string advert =
      R"({"adverts":[{"id":")" + host +
      R"(","domain":"a","endpoint":"127.0.0.1:)" + std::to_string(port) +
      R"(","milli_cores":9000,"takes_work":true,"age_ms":0}]})";
  REQUIRE(
      state::IsOk(client.Call(edge.Peers(), "POST", "/fleet/adverts", advert)));
}

struct DelegationWorld {
  DelegationWorld()
      : roomy("roomy", "a", world.Store().Address(), world.Ports()),
        small("small", "a", world.Store().Address(), world.Ports()) {
    this->roomy.JoinFleet({this->roomy.Peers()}, 0.5);
    this->small.JoinFleet({this->roomy.Peers()}, 0.1);
  }
  void Start() {
    this->roomy.Start();
    this->small.Start();
    REQUIRE(WaitFor(
        [this] { return this->roomy.IsReady() && this->small.IsReady(); }));
  }
  /// Gathers through the small edge once.
  std::optional<Response> Gather() {
    RawCaller caller(this->small.Callers());
    return caller.Call("/all/1", RequestId(++this->requests));
  }
  /// Gathers through the small edge until it passes one to `host`, under a new
  /// name each time: a host that failed is left out, and the first by name are
  /// known.
  std::optional<Response> GatherThrough(const RawServerStandIn& host,
                                        const std::string& name) {
    constexpr int kLastNumber = 9'999;
    std::optional<Response> answer;
    REQUIRE(WaitFor([&] {
      Advertise(this->small,
                name + "-" + std::to_string(kLastNumber - this->requests),
                host.Port());
      answer = this->Gather();
      return host.ReceivedOf(RequestId(this->requests)) > 0;
    }));
    return answer;
  }
  double Delegated() const {
    return this->small.ReadMetric("banyanknot_relay_delegated_requests_total");
  }
  bool WaitUntilDelegating() {
    return WaitFor([this] {
      const double before = this->Delegated();
      return StatusOf(this->Gather()) == 200 && this->Delegated() > before;
    });
  }

  EdgeWorld world;
  EdgeProcess roomy;
  EdgeProcess small;
  int requests = 0;
};

TEST_CASE(
    "A small edge passes gathers to a roomy one, and runs them if alone") {
  DelegationWorld fleet;
  fleet.Start();
  REQUIRE(fleet.WaitUntilDelegating());
  const std::optional<Response> whole = fleet.Gather();
  REQUIRE(StatusOf(whole) == 200);
  CHECK((*whole)[wire::kRequestId] == RequestId(fleet.requests));
  CHECK((*whole)[wire::kMissingParts] == "0");
  // Relayed requests stay where they are.
  const double delegated = fleet.Delegated();
  RawCaller caller(fleet.small.Callers());
  CHECK(StatusOf(caller.Call("/desk/1", "relayed")) == 200);
  CHECK(fleet.Delegated() == delegated);
  fleet.roomy.Signal(SIGKILL);
  REQUIRE(fleet.roomy.WaitForExit(kExitTimeout));
  for (int index = 0; index < 20; ++index) {
    CHECK(StatusOf(fleet.Gather()) == 200);
  }
}

TEST_CASE("A planned stop of the gatherer loses no gather") {
  DelegationWorld fleet;
  fleet.Start();
  REQUIRE(fleet.WaitUntilDelegating());
  for (const std::size_t shard : {2, 3}) {
    fleet.world.Server(shard).SetServiceTime(state::Milliseconds(100));
  }
  bool is_stopping = false;
  for (int index = 0; index < 30; ++index) {
    RawCaller caller(fleet.small.Callers());
    caller.Write(RawCaller::Request("/all/1", RequestId(++fleet.requests)));
    if (!is_stopping && index == 5) {
      fleet.roomy.Signal(SIGTERM);
      is_stopping = true;
    }
    CHECK(StatusOf(caller.Read()) == 200);
  }
  CHECK(fleet.roomy.WaitForExit(kExitTimeout) == 0);
}

// Guards against gathers that outlast a planned stop being cut at its end,
// whichever of the two edges stops.
TEST_CASE("A planned stop answers the gathers that it can't finish") {
  for (const bool stops_gatherer : {true, false}) {
    INFO(stops_gatherer);
    DelegationWorld fleet;
    EdgeProcess& stopped = stops_gatherer ? fleet.roomy : fleet.small;
    stopped.SetStopTimes(state::Milliseconds(400), state::Milliseconds(1'600));
    fleet.Start();
    REQUIRE(fleet.WaitUntilDelegating());
    for (const std::size_t shard : {2, 3}) {
      fleet.world.Server(shard).SetServiceTime(state::Milliseconds(10'000));
    }
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int index = 0; index < 4; ++index) {
      callers.push_back(std::make_unique<RawCaller>(fleet.small.Callers()));
      callers.back()->Write(
          RawCaller::Request("/all/1", RequestId(++fleet.requests)));
    }
    REQUIRE(WaitFor([&fleet] {
      return fleet.roomy.ReadMetric("banyanknot_relay_requests_in_flight") == 4;
    }));
    stopped.Signal(SIGTERM);
    for (const std::unique_ptr<RawCaller>& caller : callers) {
      CHECK(StatusOf(caller->Read()) == 504);
    }
    CHECK(stopped.WaitForExit(kExitTimeout) == 0);
  }
}

TEST_CASE("A frozen gatherer costs only the gathers that it had") {
  DelegationWorld fleet;
  fleet.Start();
  REQUIRE(fleet.WaitUntilDelegating());
  fleet.roomy.Signal(SIGSTOP);
  int lost = 0;
  for (int index = 0; index < 20; ++index) {
    const unsigned status = StatusOf(fleet.Gather());
    CHECK((status == 200 || status == 504));
    if (status != 200) ++lost;
  }
  CHECK(lost <= 1);
  fleet.roomy.Signal(SIGCONT);
  CHECK(fleet.WaitUntilDelegating());
}

TEST_CASE("A gather that the other edge's HTTP layer refuses runs here") {
  // Its peer port is taken by a server that knows nothing of gathers.
  DelegationWorld fleet;
  ServerStandIn impostor("impostor", "");
  EdgeProcess small("small-2", "a", fleet.world.Store().Address(),
                    fleet.world.Ports());
  small.JoinFleet({fleet.roomy.Peers()}, 0.1);
  fleet.Start();
  small.Start();
  REQUIRE(WaitFor([&small] { return small.IsReady(); }));
  Advertise(small, "a-impostor", impostor.Port());
  for (int index = 0; index < 20; ++index) {
    RawCaller caller(small.Callers());
    const std::optional<Response> answer =
        caller.Call("/all/1", RequestId(100 + index));
    CHECK(StatusOf(answer) == 200);
    if (answer) CHECK((*answer)["Banyanknot-Gathered"].empty());
  }
}

// Guards against an answer that ends in its head reaching the caller as a whole
// success, at the server of a shard and at the host that gathers.
TEST_CASE("A gather through another edge survives answers cut in their head") {
  DelegationWorld fleet;
  const RawServerStandIn cutting("s0", [](const RawRequest& seen) {
    if (RawServerStandIn::IsHealthCheck(seen)) {
      return std::vector<RawStep>{{RawServerStandIn::Health("s0")}};
    }
    const std::string whole = RawServerStandIn::Success("s0", seen);
    const std::size_t position = std::stoul(seen.id) % whole.size();
    return std::vector<RawStep>{
        {whole.substr(0, position), state::Milliseconds(2), RawEnd::kClose}};
  });
  fleet.world.Register("s0", cutting.Port());
  fleet.Start();
  REQUIRE(WaitFor([&fleet] {
    const double before = fleet.Delegated();
    fleet.Gather();
    return fleet.Delegated() > before;
  }));
  for (int index = 0; index < 150; ++index) {
    const std::optional<Response> answer = fleet.Gather();
    INFO(fleet.requests);
    REQUIRE(StatusOf(answer) == 200);
    CHECK((*answer)[wire::kMissingParts] == "1");
    CHECK(answer->body() == RequestId(fleet.requests));
  }
}

TEST_CASE("An edge that ends within its answer's head gives no success") {
  DelegationWorld fleet;
  const RawServerStandIn ending("a-ending", [](const RawRequest& seen) {
    if (seen.target.rfind("/all/", 0) != 0) {
      return std::vector<RawStep>{
          {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}};
    }
    const std::string whole = "HTTP/1.1 200 OK\r\nBanyanknot-Gathered: 1\r\n" +
                              std::string(wire::kMissingParts) + ": 0\r\n" +
                              std::string(wire::kRequestId) + ": " + seen.id +
                              "\r\nContent-Length: 16\r\n\r\n" + seen.id;
    const std::size_t position = std::stoul(seen.id) % whole.size();
    return std::vector<RawStep>{
        {whole.substr(0, position), state::Milliseconds(2), RawEnd::kClose}};
  });
  fleet.small.Start();
  REQUIRE(WaitFor([&fleet] { return fleet.small.IsReady(); }));
  int asked = 0;
  for (int index = 0; index < 150; ++index) {
    // A host that failed is left out, so each request gets a new one, of which
    // the first by id are known.
    Advertise(fleet.small, "a-ending-" + std::to_string(999 - index),
              ending.Port());
    const std::optional<Response> answer = fleet.Gather();
    INFO(fleet.requests);
    const unsigned status = StatusOf(answer);
    CHECK((status == 200 || status == 502));
    if (status == 200) CHECK(answer->body().size() == 32);
    if (ending.ReceivedOf(RequestId(fleet.requests)) > 0) ++asked;
  }
  CHECK(asked > 60);
}

// Guards against a broken head of another edge's response reaching the caller,
// or proving that the edge has not started the gather.
TEST_CASE("A gather is neither answered nor declined by a broken head") {
  const std::vector<testing::BrokenHead> heads = testing::AllBrokenHeads();
  // Counts heads, each first with the mark of a gathered answer, then without.
  std::atomic<std::size_t> next{0};
  DelegationWorld fleet;
  const RawServerStandIn broken("a-broken", [&](const RawRequest& seen) {
    if (seen.target.rfind("/all/", 0) != 0) {
      return std::vector<RawStep>{
          {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}};
    }
    std::string fields = std::string(wire::kRequestId) + ": " + seen.id +
                         "\r\n" + wire::kMissingParts + ": 0\r\n";
    if (next % 2 == 0) fields += "Banyanknot-Gathered: 1\r\n";
    return std::vector<RawStep>{{heads[next / 2].Response(fields, seen.id),
                                 state::Milliseconds(2), RawEnd::kClose}};
  });
  fleet.small.Start();
  REQUIRE(WaitFor([&fleet] { return fleet.small.IsReady(); }));
  for (; next < 2 * heads.size(); ++next) {
    INFO(heads[next / 2].name);
    const std::optional<Response> answer =
        fleet.GatherThrough(broken, "a-broken");
    const std::string id = RequestId(fleet.requests);
    REQUIRE(answer);
    CHECK(answer->result_int() == 502);
    CHECK(fleet.world.RunsOf(id) == 0);
  }
}

// Guards against the late response to a check of the connection, or to an
// exchange of adverts, counting as proof that the other edge has not started.
TEST_CASE("A late response to another call declines no gather") {
  DelegationWorld fleet;
  const RawServerStandIn late("a-late", [](const RawRequest& seen) {
    const std::string empty = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    if (seen.target.rfind("/all/", 0) != 0) {
      return std::vector<RawStep>{{empty}};
    }
    return std::vector<RawStep>{
        {empty},
        {"HTTP/1.1 200 OK\r\nBanyanknot-Gathered: 1\r\n" +
             std::string(wire::kMissingParts) + ": 0\r\n" + wire::kRequestId +
             ": " + seen.id + "\r\nContent-Length: 16\r\n\r\n" + seen.id,
         state::Milliseconds(20)}};
  });
  fleet.small.Start();
  REQUIRE(WaitFor([&fleet] { return fleet.small.IsReady(); }));
  for (int index = 0; index < 10; ++index) {
    const std::optional<Response> answer = fleet.GatherThrough(late, "a-late");
    const std::string id = RequestId(fleet.requests);
    INFO(id);
    REQUIRE(StatusOf(answer) == 200);
    CHECK(late.ReceivedOf(id) == 1);
    CHECK(answer->body() == id);
    CHECK(fleet.world.RunsOf(id) == 0);
  }
}

TEST_CASE("A caller that leaves cancels its gather through both edges") {
  DelegationWorld fleet;
  fleet.Start();
  REQUIRE(fleet.WaitUntilDelegating());
  for (const std::size_t shard : {2, 3}) {
    fleet.world.Server(shard).SetServiceTime(state::Milliseconds(1'500));
  }
  const std::string id = RequestId(++fleet.requests);
  RawCaller caller(fleet.small.Callers());
  caller.Write(RawCaller::Request("/all/1", id));
  REQUIRE(WaitFor([&] { return fleet.world.Server(2).RunsOf(id) > 0; }));
  const std::size_t abandoned = fleet.world.Server(2).AbandonedRequests();
  caller.Close();
  CHECK(WaitFor(
      [&] { return fleet.world.Server(2).AbandonedRequests() > abandoned; }));
}

TEST_CASE("Edges with other routes in force don't gather for each other") {
  DelegationWorld fleet;
  fleet.Start();
  REQUIRE(fleet.WaitUntilDelegating());
  RawCaller peer(fleet.roomy.Peers());
  const std::string head =
      "GET /all/1 HTTP/1.1\r\nHost: desk.example\r\n" +
      std::string(wire::kRequestId) + ": 0123456789abcdef\r\n" +
      std::string(wire::kDeadline) + ": 900\r\nBanyanknot-Hop: 1\r\n" +
      "Banyanknot-Elapsed-Us: 1000\r\nBanyanknot-Outside-Us: 14000\r\n";
  peer.Write(head + "Banyanknot-Routes-Version: 99\r\n\r\n");
  const std::optional<Response> declined = peer.Read();
  REQUIRE(StatusOf(declined) == 503);
  CHECK((*declined)["Banyanknot-Declined"] == "routes_version");
  peer.Write(head + "Banyanknot-Routes-Version: 1\r\n\r\n");
  CHECK(StatusOf(peer.Read()) == 200);
  peer.Write(
      "POST /fleet/adverts HTTP/1.1\r\nHost: x\r\nContent-Length: "
      "3\r\n\r\n[[[");
  CHECK(StatusOf(peer.Read()) == 400);
  CHECK(StatusOf(fleet.Gather()) == 200);
}

/// Eight edges of one failure domain.
struct FollowingWorld {
  static constexpr int kEdges = 8;

  FollowingWorld() {
    for (int index = 0; index < kEdges; ++index) {
      this->edges.push_back(std::make_unique<EdgeProcess>(
          "edge-" + std::to_string(index), "a", this->world.Store().Address(),
          this->world.Ports(), this->folder.Path() + "/log"));
    }
    for (const std::unique_ptr<EdgeProcess>& edge : this->edges) {
      edge->JoinFleet({this->edges[0]->Peers(), this->edges[5]->Peers()}, 0.2);
      edge->Start();
    }
    REQUIRE(WaitFor([this] {
      for (const std::unique_ptr<EdgeProcess>& edge : this->edges) {
        if (!edge->IsReady()) return false;
      }
      return true;
    }));
  }
  /// Returns the version of the routes in force; 0 if the edge doesn't reply.
  static double Version(const EdgeProcess& edge) {
    return edge.ReadMetric("banyanknot_routes_version");
  }
  bool WaitForVersion(double version, int first) {
    return WaitFor([this, version, first] {
      for (int index = first; index < kEdges; ++index) {
        if (Version(*this->edges[index]) < version) return false;
      }
      return true;
    });
  }
  /// Waits until the store gets about as few calls as two watchers make.
  bool WaitUntilFollowing() {
    return WaitFor([this] {
      const std::size_t before = this->world.Store().Calls();
      std::this_thread::sleep_for(std::chrono::milliseconds(4'500));
      return this->world.Store().Calls() - before <= 7;
    });
  }

  EdgeWorld world;
  standins::TemporaryFolder folder;
  std::vector<std::unique_ptr<EdgeProcess>> edges;
};

TEST_CASE("Edges of a domain follow the store through two of them") {
  FollowingWorld fleet;
  REQUIRE(fleet.WaitUntilFollowing());
  fleet.world.PutRoutes(5);
  CHECK(fleet.WaitForVersion(5, 0));
  // The first edges by name are the watchers. Frozen ones are noticed.
  fleet.edges[0]->Signal(SIGSTOP);
  fleet.edges[1]->Signal(SIGSTOP);
  const std::chrono::steady_clock::time_point frozen_at =
      std::chrono::steady_clock::now();
  fleet.world.PutRoutes(6);
  CHECK(fleet.WaitForVersion(6, 2));
  CHECK(std::chrono::steady_clock::now() - frozen_at <
        std::chrono::milliseconds(5'000));
  fleet.edges[0]->Signal(SIGCONT);
  fleet.edges[1]->Signal(SIGCONT);
  fleet.world.PutRoutes(7);
  CHECK(fleet.WaitForVersion(7, 0));
}

TEST_CASE("An edge that starts while the store refuses it learns from others") {
  FollowingWorld fleet;
  REQUIRE(fleet.WaitUntilFollowing());
  EdgeProcess& late = *fleet.edges[7];
  late.Signal(SIGKILL);
  REQUIRE(late.WaitForExit(kExitTimeout));
  fleet.world.Store().SetMode(StoreMode::kRefusing);
  late.Start();
  CHECK(WaitFor([&late] {
    RawCaller caller(late.Callers());
    return StatusOf(caller.Call("/desk/1", "late")) == 200;
  }));
  fleet.world.Store().SetMode(StoreMode::kUp);
  fleet.world.PutRoutes(9);
  CHECK(fleet.WaitForVersion(9, 0));
}

}  // namespace
}  // namespace banyanknot::platform::edge_testing
