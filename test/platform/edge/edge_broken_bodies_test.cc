#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "platform/edge/call_unrefused.h"
#include "platform/edge/edge_world.h"
#include "platform/edge/raw_caller.h"
#include "platform/edge/raw_server_stand_in.h"
#include "platform/wire_names.h"

// Runs the edge program before servers that break off the body of an answer and
// send the whole one after it on the open connection.
namespace banyanknot::platform::edge_testing {
namespace {

/// Breaks off the answers to requests `cut-N-*` N bytes before their end.
std::vector<RawStep> ReactWithCuts(const std::string& server,
                                   const RawRequest& seen) {
  if (RawServerStandIn::IsHealthCheck(seen)) {
    return {{RawServerStandIn::Health(server)}};
  }
  const std::string whole = RawServerStandIn::Success(server, seen);
  if (seen.id.rfind("cut-", 0) != 0) return {{whole}};
  const std::size_t missing = std::stoul(seen.id.substr(4));
  return {{whole.substr(0, whole.size() - missing)},
          {whole, state::Milliseconds(3)}};
}

// Guards against a success made of two answers (MIXED), by itself or as a part.
TEST_CASE("An answer that breaks off before its copy is none to a caller") {
  EdgeWorld world;
  std::vector<std::unique_ptr<RawServerStandIn>> servers;
  for (const char* id : {"d1", "d2", "s0"}) {
    servers.push_back(std::make_unique<RawServerStandIn>(
        id, [id = std::string(id)](const RawRequest& seen) {
          return ReactWithCuts(id, seen);
        }));
    world.Register(id, servers.back()->Port());
  }
  EdgeProcess edge("edge-1", "a", world.Store().Address(), world.Ports());
  edge.Start();
  REQUIRE(WaitFor([&edge] { return edge.IsReady(); }));
  for (const char* missing : {"01", "08", "15"}) {
    // Ids as long as a record.
    const std::string id = std::string("cut-") + missing + "-000000000";
    INFO(id);
    for (const char* target : {"/once/1", "/desk/1"}) {
      CHECK(CallUnrefused(edge, target, id).result_int() == 502);
    }
    const RawCaller::Response gathered = CallUnrefused(edge, "/all/1", id);
    CHECK(gathered.result_int() == 200);
    CHECK(gathered[wire::kMissingParts] == "1");
    CHECK(gathered[wire::kPartSignatures] == "s1/" + id);
    CHECK(gathered.body() == id);
  }
}

}  // namespace
}  // namespace banyanknot::platform::edge_testing
