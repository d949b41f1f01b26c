#include <catch2/catch.hpp>
#include <cstdio>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/edge/call_unrefused.h"
#include "platform/edge/edge_world.h"
#include "platform/edge/raw_caller.h"
#include "platform/edge/raw_server_stand_in.h"
#include "platform/wire_names.h"
#include "support/broken_heads.h"

// Runs the edge program before servers whose responses have heads that no final
// answer can have.
namespace banyanknot::platform::edge_testing {
namespace {

using Response = RawCaller::Response;
using testing::AllBrokenHeads;
using testing::BrokenHead;

constexpr const char* kIdPrefix = "head-";
constexpr state::Duration kEventTimeout = state::Milliseconds(10'000);

/// What a broken head claims beside being an answer.
enum class Claim { kNone, kNotRun, kAll };
constexpr Claim kAllClaims[] = {Claim::kNone, Claim::kNotRun, Claim::kAll};

std::string LinesOf(Claim claim) {
  const std::string not_run = std::string(wire::kNotRun) + ": 1\r\n";
  switch (claim) {
    case Claim::kNone:
      return "";
    case Claim::kNotRun:
      return not_run;
    case Claim::kAll:
      break;
  }
  return not_run + wire::kServerLeaving + ": 1\r\n" + wire::kServerLoad +
         ": 0,0,8\r\n" + wire::kRetryAfter + ": 60\r\n";
}

/// The id of a request to be answered with the broken head `index`, as long as
/// a record.
std::string IdOf(std::size_t index, Claim claim, const char* purpose) {
  char text[24];
  std::snprintf(text, sizeof(text), "%s%02u-%u-%s", kIdPrefix,
                static_cast<unsigned>(index), static_cast<unsigned>(claim),
                purpose);
  return text;
}

/// The claim in a request's id.
Claim ClaimIn(const std::string& id) {
  return kAllClaims[static_cast<std::size_t>(id.at(8) - '0')];
}

std::vector<RawStep> ReactWithHeads(const std::string& server,
                                    const RawRequest& seen) {
  if (RawServerStandIn::IsHealthCheck(seen)) {
    return {{RawServerStandIn::Health(server)}};
  }
  if (seen.id.rfind(kIdPrefix, 0) != 0) {
    return {{RawServerStandIn::Success(server, seen)}};
  }
  const std::size_t index =
      std::stoul(seen.id.substr(std::string(kIdPrefix).size()));
  std::string fields = std::string(wire::kRequestId) + ": " + seen.id + "\r\n" +
                       wire::kSignature + ": " + server + "/" + seen.id +
                       "\r\n";
  fields += LinesOf(ClaimIn(seen.id));
  return {{AllBrokenHeads().at(index).Response(fields, seen.id),
           state::Milliseconds(2), RawEnd::kClose}};
}

/// Raw servers in place of some of a world's own.
class HeadServers {
 public:
  HeadServers(EdgeWorld& world, const std::vector<std::string>& ids) {
    for (const std::string& id : ids) {
      this->servers.push_back(std::make_unique<RawServerStandIn>(
          id,
          [id](const RawRequest& seen) { return ReactWithHeads(id, seen); }));
      world.Register(id, this->servers.back()->Port());
    }
  }
  std::size_t ReceivedOf(const std::string& request_id) const {
    std::size_t received = 0;
    for (const std::unique_ptr<RawServerStandIn>& server : this->servers) {
      received += server->ReceivedOf(request_id);
    }
    return received;
  }

 private:
  std::vector<std::unique_ptr<RawServerStandIn>> servers;
};

// Guards against a response whose head is broken reaching a caller, and against
// what it says of the request and of the server being believed.
TEST_CASE("A response with a broken head is no answer to a caller") {
  EdgeWorld world;
  const HeadServers servers(world, {"d1", "d2", "s0"});
  EdgeProcess edge("edge-1", "a", world.Store().Address(), world.Ports());
  edge.Start();
  REQUIRE(WaitFor([&edge] { return edge.IsReady(); }));
  for (std::size_t index = 0; index < AllBrokenHeads().size(); ++index) {
    INFO(AllBrokenHeads()[index].name);
    for (const Claim claim : kAllClaims) {
      INFO(static_cast<int>(claim));
      const std::string once = IdOf(index, claim, "relays");
      CHECK(CallUnrefused(edge, "/once/1", once).result_int() == 502);
      CHECK(servers.ReceivedOf(once) == 1);
      const std::string desk = IdOf(index, claim, "repeat");
      CHECK(CallUnrefused(edge, "/desk/1", desk).result_int() == 502);
      const std::string all = IdOf(index, claim, "gather");
      const Response gathered = CallUnrefused(edge, "/all/1", all);
      CHECK(gathered.result_int() == 200);
      CHECK(gathered[wire::kMissingParts] == "1");
      CHECK(gathered[wire::kPartSignatures] == "s1/" + all);
      CHECK(gathered.body() == all);
      // Neither server counts as leaving or asks for a back-off.
      CHECK(CallUnrefused(edge, "/once/1", "whole").result_int() == 200);
    }
  }
}

TEST_CASE("A response with a broken head loses to the answer of a hedge") {
  for (std::size_t index = 0; index < AllBrokenHeads().size(); ++index) {
    INFO(AllBrokenHeads()[index].name);
    // One for each head: hedges have a budget.
    EdgeWorld world;
    const RawServerStandIn broken("d1", [](const RawRequest& seen) {
      std::vector<RawStep> steps = ReactWithHeads("d1", seen);
      steps.front().pause = state::Milliseconds(150);
      return steps;
    });
    const RawServerStandIn slow(
        "d2", RawServerStandIn::Slow("d2", state::Milliseconds(200)));
    world.Register("d1", broken.Port());
    world.Register("d2", slow.Port());
    EdgeProcess edge("edge-1", "a", world.Store().Address(), world.Ports());
    edge.Start();
    REQUIRE(WaitFor([&edge] { return edge.IsReady(); }));
    const std::string id = IdOf(index, Claim::kAll, "hedges");
    const Response response = CallUnrefused(edge, "/desk/1", id);
    CHECK(response.result_int() == 200);
    CHECK(response[wire::kSignature] == "d2/" + id);
  }
}

/// Breaks off the answer to `lost`, and responds to the health check after it
/// with a broken head that names another server.
class BrokenHealthScript {
 public:
  explicit BrokenHealthScript(BrokenHead head) : head(std::move(head)) {}

  std::vector<RawStep> operator()(const RawRequest& seen) {
    if (seen.id == "lost") return {{"", state::Duration(0), RawEnd::kClose}};
    if (!RawServerStandIn::IsHealthCheck(seen)) {
      return {{RawServerStandIn::Success("d1", seen)}};
    }
    if (*this->checks > 0) return {{RawServerStandIn::Health("d1")}};
    ++*this->checks;
    const std::string fields =
        std::string(wire::kServerId) + ": other\r\n" + LinesOf(Claim::kAll);
    return {{this->head.Response(fields, "whole"), state::Duration(0),
             RawEnd::kClose}};
  }
  std::size_t Checks() const { return *this->checks; }

 private:
  const BrokenHead head;
  // Shared with the copy that the server owns; read after the edge has
  // answered.
  const std::shared_ptr<std::size_t> checks = std::make_shared<std::size_t>(0);
};

// Guards against a broken response to a health check excluding a sound server
// for good.
TEST_CASE("A health response with a broken head says nothing of its server") {
  for (const BrokenHead& head : AllBrokenHeads()) {
    INFO(head.name);
    EdgeWorld world;
    const BrokenHealthScript script(head);
    const RawServerStandIn server("d1", script);
    world.Store().Delete(std::string(wire::kServerPrefix) + "d2");
    world.Register("d1", server.Port());
    EdgeProcess edge("edge-1", "a", world.Store().Address(), world.Ports());
    edge.Start();
    REQUIRE(WaitFor([&edge] { return edge.IsReady(); }));
    CHECK(CallUnrefused(edge, "/desk/1", "lost").result_int() == 502);
    CHECK(CallUnrefused(edge, "/desk/1", "after").result_int() == 200);
    CHECK(script.Checks() == 1);
    const std::optional<nlohmann::json> line =
        edge.WaitForEvent("response_malformed", kEventTimeout);
    REQUIRE(line);
    CHECK(line->value("server", "") == "d1");
    CHECK_FALSE(line->value("fault", "").empty());
  }
}

/// Responds in one chunk. What the id of a request names stands in a trailer:
/// `claims-*` what LinesOf() has, `late-*` the id itself.
std::vector<RawStep> ReactWithTrailers(const std::string& server,
                                       const RawRequest& seen) {
  if (RawServerStandIn::IsHealthCheck(seen)) {
    return {{RawServerStandIn::Health(server)}};
  }
  const std::string id_line =
      std::string(wire::kRequestId) + ": " + seen.id + "\r\n";
  const bool is_late = seen.id.rfind("late-", 0) == 0;
  const std::string trailers = is_late ? id_line : LinesOf(Claim::kAll);
  std::string bytes = "HTTP/1.1 200 OK\r\n" + (is_late ? "" : id_line) +
                      wire::kSignature + ": " + server + "/" + seen.id +
                      "\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n" + seen.id +
                      "\r\n0\r\n" + trailers + "\r\n";
  return {{std::move(bytes), state::Duration(0), RawEnd::kGoOn}};
}

// Guards against the trailer of a response counting as part of its head, which
// was judged before.
TEST_CASE("A trailer says nothing of the request or of its server") {
  EdgeWorld world;
  std::vector<std::unique_ptr<RawServerStandIn>> servers;
  for (const char* id : {"d1", "d2"}) {
    servers.push_back(std::make_unique<RawServerStandIn>(
        id, [id = std::string(id)](const RawRequest& seen) {
          return ReactWithTrailers(id, seen);
        }));
    world.Register(id, servers.back()->Port());
  }
  EdgeProcess edge("edge-1", "a", world.Store().Address(), world.Ports());
  edge.Start();
  REQUIRE(WaitFor([&edge] { return edge.IsReady(); }));
  for (int index = 0; index < 4; ++index) {
    const std::string id = "claims-00000000" + std::to_string(index);
    INFO(id);
    const Response response = CallUnrefused(edge, "/once/1", id);
    CHECK(response.result_int() == 200);
    CHECK(response.body() == id);
    CHECK(response[wire::kServerLeaving].empty());
    CHECK(servers[0]->ReceivedOf(id) + servers[1]->ReceivedOf(id) == 1);
  }
  CHECK(CallUnrefused(edge, "/once/1", "late-00000000000").result_int() != 200);
}

}  // namespace
}  // namespace banyanknot::platform::edge_testing
