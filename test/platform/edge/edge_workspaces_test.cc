#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "platform/edge/edge_world.h"
#include "platform/edge/raw_caller.h"
#include "platform/wire_names.h"

// Runs edge programs whose callers belong to workspaces.
namespace banyanknot::platform::edge_testing {
namespace {

using nlohmann::json;

json Workspace(const char* name, const json& keys) {
  return {{"Name", name}, {"ApiKeys", keys}};
}

std::string Key(const std::string& key) {
  return "Authorization: Token " + key + "\r\n";
}

/// A small edge that passes its gathers to a roomy one.
struct WorkspacesWorld {
  WorkspacesWorld()
      : roomy("roomy", "a", world.Store().Address(), world.Ports()),
        small("small", "a", world.Store().Address(), world.Ports()) {
    this->world.PutWorkspaces(
        2, json::array({Workspace("farm", {"key-1", "key-2"}),
                        Workspace("office", {"key-3"})}));
    this->roomy.JoinFleet({this->roomy.Peers()}, 0.5);
    this->small.JoinFleet({this->roomy.Peers()}, 0.1);
    this->roomy.KeepQuotas({"a"});
    this->small.KeepQuotas({"a"});
    this->roomy.Start();
    this->small.Start();
    REQUIRE(WaitFor(
        [this] { return this->roomy.IsReady() && this->small.IsReady(); }));
  }
  unsigned Status(const std::string& headers, const std::string& target) {
    RawCaller caller(this->small.Callers());
    const std::string number = std::to_string(++this->requests);
    return StatusOf(caller.CallWith(
        headers, target, std::string(16 - number.size(), '0') + number));
  }

  EdgeWorld world;
  EdgeProcess roomy;
  EdgeProcess small;
  int requests = 0;
};

TEST_CASE("Servers are told the workspace of each request and never a key") {
  WorkspacesWorld world;
  CHECK(world.Status(Key("key-1"), "/once/1") == 200);
  CHECK(world.Status(Key("key-3") + "Tenant: farm\r\n", "/once/1") == 200);
  for (int count = 0; count < 10; ++count) {
    CHECK(world.Status(Key("key-2") + "Tenant: office\r\n", "/all/1") == 200);
  }
  CHECK(world.Status("Tenant: office\r\n", "/desk/1") == 200);
  std::map<std::string, std::size_t> runs;
  for (const std::unique_ptr<ServerStandIn>& server : world.world.Servers()) {
    CHECK_FALSE(server->HasSeenKey());
    for (const auto& [workspace, count] : server->RunsByWorkspace()) {
      runs[workspace] += count;
    }
  }
  CHECK(runs["farm"] >= 21);  // two shards each, and hedges
  CHECK(runs["office"] == 1);
  CHECK(runs[""] == 1);  // the route that needs no key
  CHECK(runs.size() == 3);
}

TEST_CASE("Unknown, missing and withdrawn keys run nothing") {
  WorkspacesWorld world;
  CHECK(world.Status("", "/once/1") == 401);
  CHECK(world.Status(Key("key-9"), "/once/1") == 401);
  CHECK(world.Status("Authorization: key-1\r\n", "/all/1") == 401);
  world.world.PutWorkspaces(
      3, json::array({Workspace("farm", {"key-2"}),
                      Workspace("office", {"key-3", "key-4"})}));
  CHECK(WaitFor([&] { return world.Status(Key("key-4"), "/once/1") == 200; }));
  CHECK(world.Status(Key("key-1"), "/once/1") == 401);
  CHECK(world.Status(Key("key-2"), "/once/1") == 200);
  for (const std::unique_ptr<ServerStandIn>& server : world.world.Servers()) {
    CHECK(server->RunsByWorkspace().count("") == 0);
  }
}

TEST_CASE("A workspace over its quota is refused and others are served") {
  WorkspacesWorld world;
  json farm = Workspace("farm", {"key-1"});
  farm["RatePerS"] = 0.01;
  farm["Burst"] = 2;
  world.world.PutWorkspaces(
      3, json::array({farm, Workspace("office", {"key-3"})}));
  std::size_t served = 0;
  std::size_t refused = 0;
  CHECK(WaitFor([&] {
    const unsigned status = world.Status(Key("key-1"), "/once/1");
    served += status == 200 ? 1 : 0;
    refused += status == 429 ? 1 : 0;
    return refused >= 5;
  }));
  CHECK(world.Status(Key("key-3"), "/once/1") == 200);
}

TEST_CASE("No key stands in a log") {
  WorkspacesWorld world;
  CHECK(world.Status(Key("key-1"), "/once/1") == 200);
  CHECK(world.Status(Key("key-9"), "/once/1") == 401);
  world.world.Store().PutRaw(wire::kRoutesKey,
                             "bm90IGpzb24ga2V5LTE=");  // "not json key-1"
  bool has_unreadable = false;
  while (std::optional<json> line = world.small.WaitForEvent(
             "source_entry_unreadable", state::Milliseconds(3'000))) {
    has_unreadable = true;
    CHECK(line->dump().find("key-") == std::string::npos);
  }
  CHECK(has_unreadable);
}

}  // namespace
}  // namespace banyanknot::platform::edge_testing
