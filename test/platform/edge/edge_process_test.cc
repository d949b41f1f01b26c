#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "platform/edge/edge_world.h"
#include "platform/edge/raw_caller.h"
#include "platform/wire_names.h"
#include "transport/raw_byte_server.h"

// Runs the edge program as a process between stand-ins for the store, servers
// and callers.
namespace banyanknot::platform::edge_testing {
namespace {

using Response = RawCaller::Response;

constexpr state::Duration kEventTimeout = state::Milliseconds(10'000);
constexpr state::Duration kExitTimeout = state::Milliseconds(15'000);
/// The smallest hosts have 160 MB.
constexpr std::size_t kMaxResidentKb = 160'000;

std::unique_ptr<EdgeProcess> StartReady(EdgeWorld& world) {
  std::unique_ptr<EdgeProcess> edge = std::make_unique<EdgeProcess>(
      "edge-1", "a", world.Store().Address(), world.Ports());
  edge->Start();
  REQUIRE(WaitFor([&edge] { return edge->IsReady(); }));
  return edge;
}

TEST_CASE("The edge program relays and gathers") {
  EdgeWorld world;
  const std::unique_ptr<EdgeProcess> edge = StartReady(world);
  RawCaller caller(edge->Callers());
  const std::optional<Response> relayed = caller.Call("/desk/1", "r-1");
  REQUIRE(StatusOf(relayed) == 200);
  CHECK(relayed->body() == "r-1 done");
  const std::string signature((*relayed)[wire::kSignature]);
  CHECK((signature == "d1/r-1" || signature == "d2/r-1"));
  const std::optional<Response> gathered =
      caller.Call("/all/1", "0123456789abcdef");
  REQUIRE(StatusOf(gathered) == 200);
  CHECK((*gathered)[wire::kMissingParts] == "0");
  CHECK((*gathered)[wire::kRequestId] == "0123456789abcdef");
  CHECK(StatusOf(caller.Call("/elsewhere/", "r-2")) == 404);
}

TEST_CASE("A malformed request reaches no server and affects no other caller") {
  EdgeWorld world;
  const std::unique_ptr<EdgeProcess> edge = StartReady(world);
  RawCaller other(edge->Callers());
  const std::string head = "POST /desk/1 HTTP/1.1\r\nHost: desk.example\r\n" +
                           std::string(wire::kRequestId) + ": bad\r\n";
  const std::vector<std::string> rows = {
      head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
      head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      head +
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n"
          "0\r\n\r\n",
      head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
      head + "Content-Length : 3\r\n\r\nabc",
      head + "Content-Length: +3\r\n\r\nabc",
      head + "Content-Length: 3\n\nabc",
      head + "Folded: a\r\n b\r\nContent-Length: 0\r\n\r\n",
      head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
      "GET /desk/1\r\n\r\n",
      std::string("\x16\x03\x01\x02\x00\x01", 6),
  };
  for (const std::string& bytes : rows) {
    INFO(bytes);
    RawCaller caller(edge->Callers());
    caller.Write(bytes + RawCaller::Request("/desk/1", "smuggled"));
    const std::optional<Response> response = caller.Read();
    if (response) CHECK(response->result_int() == 400);
    CHECK(caller.IsClosedByPeer());
    CHECK(StatusOf(other.Call("/desk/1", "fine")) == 200);
  }
  CHECK(world.RunsOf("bad") == 0);
  CHECK(world.RunsOf("smuggled") == 0);
}

// Guards against requests of one caller that take all places of a service's
// servers at this host for good.
TEST_CASE("TRACE requests with a body cost ordinary callers nothing") {
  EdgeWorld world;
  const std::unique_ptr<EdgeProcess> edge = StartReady(world);
  for (int number = 0; number < 40; ++number) {
    RawCaller odd(edge->Callers());
    CHECK(StatusOf(odd.Call("/once/1", "odd-" + std::to_string(number), "TRACE",
                            "plan")) == 400);
  }
  RawCaller caller(edge->Callers());
  for (int number = 0; number < 10; ++number) {
    const std::string id = "fine-" + std::to_string(number);
    CHECK(StatusOf(caller.Call("/once/1", id, "POST", "plan")) == 200);
  }
  CHECK(world.RunsOf("odd-0") == 0);
}

TEST_CASE("The configured limits on header and body size are enforced") {
  EdgeWorld world;
  const std::unique_ptr<EdgeProcess> edge = StartReady(world);
  RawCaller small(edge->Callers());
  CHECK(StatusOf(small.Call("/desk/1", "fits", "POST",
                            std::string(8'000, 'x'))) == 200);
  RawCaller large(edge->Callers());
  CHECK(StatusOf(large.Call("/desk/1", "large", "POST",
                            std::string(9'000, 'x'))) == 413);
  RawCaller long_target(edge->Callers());
  CHECK(StatusOf(long_target.Call("/desk/" + std::string(5'000, 'y'),
                                  "wide")) == 431);
  CHECK(world.RunsOf("large") == 0);
  CHECK(world.RunsOf("wide") == 0);
}

// Guards against requests on connections that were open before a change being
// refused by the limits of the older version.
TEST_CASE("The limits of a new version apply to open connections") {
  EdgeWorld world;
  const std::unique_ptr<EdgeProcess> edge = StartReady(world);
  RawCaller used(edge->Callers());
  RawCaller fresh(edge->Callers());
  REQUIRE(StatusOf(used.Call("/desk/1", "before")) == 200);
  world.PutRoutes(2, 100'000);
  REQUIRE(WaitFor([&edge] {
    const std::optional<nlohmann::json> line =
        edge->WaitForEvent("routes_in_force", kEventTimeout);
    return line && line->value("version", "") == "2";
  }));
  for (RawCaller* caller : {&used, &fresh}) {
    CHECK(StatusOf(caller->Call("/desk/1", "large", "POST",
                                std::string(50'000, 'x'))) == 200);
  }
}

TEST_CASE("Pipelined requests are answered in order") {
  EdgeWorld world;
  const std::unique_ptr<EdgeProcess> edge = StartReady(world);
  RawCaller caller(edge->Callers());
  std::string bytes;
  for (const char* id : {"p-1", "p-2", "p-3"}) {
    bytes += RawCaller::Request("/desk/1", id, "POST", "b");
  }
  caller.Write(bytes);
  for (const std::string id : {"p-1", "p-2", "p-3"}) {
    const std::optional<Response> response = caller.Read();
    REQUIRE(StatusOf(response) == 200);
    CHECK(response->body() == id + " done");
  }
}

TEST_CASE("A chunked body that arrives byte by byte is forwarded whole") {
  EdgeWorld world;
  const std::unique_ptr<EdgeProcess> edge = StartReady(world);
  RawCaller caller(edge->Callers());
  const std::string text =
      "POST /desk/1 HTTP/1.1\r\nHost: desk.example\r\n" +
      std::string(wire::kRequestId) +
      ": slow\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n3\r\nbcd\r\n"
      "0\r\n\r\n";
  for (const char letter : text) caller.Write(std::string(1, letter));
  REQUIRE(StatusOf(caller.Read()) == 200);
  const std::string received_body = world.Server(0).RunsOf("slow") > 0
                                        ? world.Server(0).LastBody()
                                        : world.Server(1).LastBody();
  CHECK(received_body == "abcd");
}

TEST_CASE(
    "A non-idempotent request runs at most once whatever the server does") {
  struct Row {
    ServerMode mode;
    unsigned status;
    std::size_t runs;
  };
  const std::vector<Row> rows = {
      {ServerMode::kLosingReply, 502, 1},
      {ServerMode::kFailing, 500, 1},  // the server's own response
      {ServerMode::kShedding, 503, 0},
  };
  EdgeWorld world;
  const std::unique_ptr<EdgeProcess> edge = StartReady(world);
  for (std::size_t index = 0; index < rows.size(); ++index) {
    const Row& row = rows[index];
    const std::string id = "once-" + std::to_string(index);
    INFO(id);
    world.Server(0).SetMode(row.mode);
    world.Server(1).SetMode(row.mode);
    REQUIRE(WaitFor([&edge, &id] {
      // Waits until servers suspected in the previous row are cleared.
      RawCaller probe(edge->Callers());
      const unsigned status =
          StatusOf(probe.Call("/once/1", id + "-probe", "POST", "pay"));
      return status != 503 || id == "once-2";
    }));
    RawCaller caller(edge->Callers());
    unsigned status = 0;
    REQUIRE(WaitFor([&] {
      status = StatusOf(caller.Call("/once/1", id, "POST", "pay"));
      return status != 0;
    }));
    CHECK((status == row.status || status == 503));
    CHECK(world.RunsOf(id) == (status == 503 ? 0 : row.runs));
  }
}

TEST_CASE("A caller that disconnects cancels the request at its server") {
  EdgeWorld world;
  for (std::size_t index : {0, 1}) {
    world.Server(index).SetServiceTime(state::Milliseconds(1'500));
  }
  const std::unique_ptr<EdgeProcess> edge = StartReady(world);
  RawCaller caller(edge->Callers());
  caller.Write(RawCaller::Request("/desk/1", "left"));
  REQUIRE(WaitFor([&world] { return world.RunsOf("left") > 0; }));
  caller.Close();
  CHECK(WaitFor([&world] {
    return world.Server(0).AbandonedRequests() +
               world.Server(1).AbandonedRequests() ==
           world.RunsOf("left");
  }));
}

TEST_CASE(
    "A graceful shutdown finishes open requests and drops no connection") {
  EdgeWorld world;
  const std::unique_ptr<EdgeProcess> edge = StartReady(world);
  RawCaller busy(edge->Callers());
  RawCaller kept(edge->Callers());
  REQUIRE(StatusOf(busy.Call("/desk/1", "before-1")) == 200);
  REQUIRE(StatusOf(kept.Call("/desk/1", "before-2")) == 200);
  for (std::size_t index : {0, 1}) {
    world.Server(index).SetServiceTime(state::Milliseconds(600));
  }
  busy.Write(RawCaller::Request("/desk/1", "during"));
  REQUIRE(WaitFor([&world] { return world.RunsOf("during") > 0; }));
  edge->Signal(SIGTERM);
  REQUIRE(WaitFor([&edge] { return !edge->IsReady(); }));
  const std::optional<Response> last = kept.Call("/desk/1", "late");
  REQUIRE(StatusOf(last) == 200);
  CHECK_FALSE(last->keep_alive());
  const std::optional<Response> finished = busy.Read();
  REQUIRE(StatusOf(finished) == 200);
  CHECK(finished->body() == "during done");
  CHECK(edge->WaitForExit(kExitTimeout) == 0);
}

TEST_CASE("SIGHUP reloads the settings without interrupting service") {
  EdgeWorld world;
  const std::unique_ptr<EdgeProcess> edge = StartReady(world);
  RawCaller caller(edge->Callers());
  edge->Signal(SIGHUP);
  CHECK(edge->WaitForEvent("settings_reloaded", kEventTimeout));
  CHECK(StatusOf(caller.Call("/desk/1", "h-1")) == 200);
  std::ofstream(edge->SettingsPath()) << "{\"id\": 7}";
  edge->Signal(SIGHUP);
  CHECK(edge->WaitForEvent("settings_refused", kEventTimeout));
  CHECK(StatusOf(caller.Call("/desk/1", "h-2")) == 200);
}

TEST_CASE("Unreadable entries are skipped and logged") {
  EdgeWorld world;
  const std::unique_ptr<EdgeProcess> edge = StartReady(world);
  world.Store().PutRaw(std::string(wire::kServerPrefix) + "d9", "%%%");
  CHECK(edge->WaitForEvent("source_entry_unreadable", kEventTimeout));
  world.Store().Put("someone/elses", {{"Service", 7}});
  world.Store().Put(wire::kRoutesKey, {{"Version", "new"}});
  CHECK(edge->WaitForEvent("source_entry_unreadable", kEventTimeout));
  RawCaller caller(edge->Callers());
  CHECK(StatusOf(caller.Call("/desk/1", "still")) == 200);
  world.PutRoutes(2);
  CHECK(edge->WaitForEvent("routes_in_force", kEventTimeout));
}

TEST_CASE("Odd entries among the servers stop nothing") {
  EdgeWorld world;
  const std::unique_ptr<EdgeProcess> edge = StartReady(world);
  const std::string prefix = wire::kServerPrefix;
  const nlohmann::json valid = {{"Service", "desk"}, {"Address", "127.0.0.1:9"},
                                {"Zone", "a"},       {"Slots", 8},
                                {"State", "ready"},  {"born", 1}};
  nlohmann::json deep = nlohmann::json::array();
  for (int depth = 0; depth < 3'000; ++depth) deep = {deep};
  const std::vector<std::pair<const char*, nlohmann::json>> rows = {
      {"Slots", 1e300},
      {"Slots", -1},
      {"WarmupLeftMs", 1e300},
      {"WarmupLeftMs", 9e18},
      {"born", 1e300},
      {"Address", "127.0.0.1:65536"},
      {"Address", "127.0.0.1:0"},
      {"Address", "999.1.1.1:80"},
      {"State", "resting"},
      {"Service", 7},
      {"Extra", deep}};
  for (std::size_t index = 0; index < rows.size(); ++index) {
    nlohmann::json entry = valid;
    entry[rows[index].first] = rows[index].second;
    // A key of its own, and then that of a server in use.
    world.Store().Put(prefix + "odd" + std::to_string(index), entry);
    world.Store().Put(prefix + "d1", entry);
    CHECK(edge->WaitForEvent("source_entry_unreadable", kEventTimeout));
  }
  RawCaller caller(edge->Callers());
  for (int index = 0; index < 20; ++index) {
    CHECK(StatusOf(caller.Call("/desk/1", "odd-" + std::to_string(index))) ==
          200);
  }
  // It still follows the store.
  world.PutRoutes(9);
  CHECK(edge->WaitForEvent("routes_in_force", kEventTimeout));
  CHECK_FALSE(edge->WaitForExit(state::Milliseconds(0)));
}

TEST_CASE("Servers whose bytes never end cost bounded memory and no answer") {
  transport::IoThreads threads{2};
  for (const transport::EndlessBytes& row : transport::AllEndlessBytes()) {
    INFO(row.name);
    EdgeWorld world;
    const transport::RawByteServer endless(threads.Context(), row.bytes);
    for (std::size_t index = 0; index < world.Servers().size(); ++index) {
      world.Register(world.Server(index), endless.Address().port);
    }
    const std::unique_ptr<EdgeProcess> edge = StartReady(world);
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int index = 0; index < 20; ++index) {
      callers.push_back(std::make_unique<RawCaller>(edge->Callers()));
      callers.back()->Write(
          RawCaller::Request(index % 2 == 0 ? "/all/1" : "/once/1",
                             "endless-" + std::to_string(index)));
    }
    for (const std::unique_ptr<RawCaller>& caller : callers) {
      const std::optional<Response> response = caller->Read();
      const unsigned status = StatusOf(response);
      CHECK((status == 502 || status == 503 || status == 504));
    }
    CHECK(edge->PeakResidentKb() < kMaxResidentKb);
  }
  threads.Stop();
}

// Guards against the replies of other servers being refused because one
// server's bytes fill what a host holds for unfinished replies.
TEST_CASE("Servers whose bytes never end cost no other request its answer") {
  transport::IoThreads threads{2};
  std::vector<transport::EndlessBytes> rows = transport::AllEndlessBytes();
  // Nearly as much as a relayed reply may have, and then no end.
  rows.push_back({"long body that trickles on",
                  {"HTTP/1.1 200 OK\r\n\r\n" + std::string(15u << 20, 'x'), "x",
                   std::chrono::milliseconds(20)}});
  for (const transport::EndlessBytes& row : rows) {
    INFO(row.name);
    EdgeWorld world;
    const transport::RawByteServer endless(threads.Context(), row.bytes);
    for (const char* id : {"d1", "d2"}) {
      world.Register(id, endless.Address().port);
    }
    const std::unique_ptr<EdgeProcess> edge = StartReady(world);
    std::atomic<bool> is_stopping{false};
    std::thread flood([&edge, &is_stopping] {
      for (int round = 0; !is_stopping; ++round) {
        std::vector<std::unique_ptr<RawCaller>> callers;
        for (int index = 0; index < 16; ++index) {
          callers.push_back(std::make_unique<RawCaller>(edge->Callers()));
          callers.back()->Write(RawCaller::Request(
              index % 2 == 0 ? "/desk/1" : "/once/1",
              "flood-" + std::to_string(round) + "-" + std::to_string(index)));
        }
        for (const std::unique_ptr<RawCaller>& caller : callers) caller->Read();
      }
    });
    for (int index = 0; index < 40; ++index) {
      RawCaller caller(edge->Callers());
      const std::optional<Response> gathered = caller.Call(
          "/all/1", "gather-" + std::to_string(100'000'000 + index));
      CHECK(StatusOf(gathered) == 200);
      if (gathered) CHECK((*gathered)[wire::kMissingParts] == "0");
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    is_stopping = true;
    flood.join();
    CHECK(edge->PeakResidentKb() < kMaxResidentKb);
  }
  threads.Stop();
}

TEST_CASE("Failures of the store leave the routes in force") {
  for (const StoreMode mode :
       {StoreMode::kRefusing, StoreMode::kSilent, StoreMode::kHistoryLost,
        StoreMode::kLosingReply}) {
    INFO(static_cast<int>(mode));
    EdgeWorld world;
    const std::unique_ptr<EdgeProcess> edge = StartReady(world);
    world.Store().SetMode(mode);
    RawCaller caller(edge->Callers());
    for (int index = 0; index < 20; ++index) {
      CHECK(StatusOf(caller.Call("/desk/1", "t" + std::to_string(index))) ==
            200);
    }
    world.PutRoutes(7);
    world.Store().SetMode(StoreMode::kUp);
    const std::optional<nlohmann::json> line =
        edge->WaitForEvent("routes_in_force", kEventTimeout);
    REQUIRE(line);
    const std::optional<nlohmann::json> next =
        line->value("version", "") == "7"
            ? line
            : edge->WaitForEvent("routes_in_force", kEventTimeout);
    REQUIRE(next);
    CHECK(next->value("version", "") == "7");
  }
}

TEST_CASE(
    "A host that starts without the store refuses requests and recovers") {
  EdgeWorld world;
  world.Store().SetMode(StoreMode::kRefusing);
  EdgeProcess edge("edge-1", "a", world.Store().Address(), world.Ports());
  edge.Start();
  std::optional<Response> refused;
  REQUIRE(WaitFor([&edge, &refused] {
    RawCaller caller(edge.Callers());
    refused = caller.Call("/desk/1", "early");
    return refused.has_value();
  }));
  CHECK(StatusOf(refused) == 503);
  CHECK_FALSE((*refused)[wire::kRetryAfter].empty());
  CHECK_FALSE(edge.IsReady());
  world.Store().SetMode(StoreMode::kUp);
  CHECK(WaitFor([&edge] {
    RawCaller caller(edge.Callers());
    return StatusOf(caller.Call("/desk/1", "later")) == 200;
  }));
  CHECK(world.RunsOf("early") == 0);
}

}  // namespace
}  // namespace banyanknot::platform::edge_testing
