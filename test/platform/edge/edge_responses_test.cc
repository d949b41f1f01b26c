#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "platform/edge/edge_world.h"
#include "platform/edge/raw_caller.h"
#include "platform/edge/raw_server_stand_in.h"
#include "platform/wire_names.h"

// Runs the edge program between callers and servers whose responses are late,
// repeated or cut off.
namespace banyanknot::platform::edge_testing {
namespace {

using Response = RawCaller::Response;

constexpr state::Duration kServiceTime = state::Milliseconds(20);

std::vector<RawStep> SingleStep(std::string bytes) {
  return {{std::move(bytes), state::Duration(0), RawEnd::kGoOn}};
}

/// Sends a second copy of each refusal before the next response on its
/// connection, and refuses every other request.
class CopyingScript {
 public:
  explicit CopyingScript(std::string id) : id(std::move(id)) {}

  std::vector<RawStep> operator()(const RawRequest& request) {
    if (RawServerStandIn::IsHealthCheck(request)) {
      return SingleStep(RawServerStandIn::Health(this->id));
    }
    std::string& copy = (*this->copies)[request.connection];
    if (copy.empty()) {
      copy = RawServerStandIn::Refusal(request);
      return SingleStep(copy);
    }
    ++(*this->runs)[request.id];
    return {{std::exchange(copy, ""), state::Duration(0), RawEnd::kGoOn},
            {RawServerStandIn::Success(this->id, request), kServiceTime,
             RawEnd::kGoOn}};
  }

  std::size_t RunsOf(const std::string& request_id) const {
    return (*this->runs)[request_id];
  }

 private:
  const std::string id;
  // Shared with the copy that the server owns; read after the edge has
  // answered.
  const std::shared_ptr<std::map<std::size_t, std::string>> copies =
      std::make_shared<std::map<std::size_t, std::string>>();
  const std::shared_ptr<std::map<std::string, std::size_t>> runs =
      std::make_shared<std::map<std::string, std::size_t>>();
};

// Guards against a refusal that arrives late, for an earlier request, counting
// as proof that the current one did not run: it then ran at two servers, or its
// caller was told that it had not run.
TEST_CASE("A late copy of a refusal proves nothing of the next request") {
  EdgeWorld world;
  const CopyingScript first_script("d1");
  const CopyingScript second_script("d2");
  const RawServerStandIn first("d1", first_script);
  const RawServerStandIn second("d2", second_script);
  world.Register("d1", first.Port());
  world.Register("d2", second.Port());
  EdgeProcess edge("edge-1", "a", world.Store().Address(), world.Ports());
  edge.Start();
  REQUIRE(WaitFor([&edge] { return edge.IsReady(); }));
  RawCaller caller(edge.Callers());
  std::size_t served = 0;
  for (int index = 0; index < 40; ++index) {
    const std::string id = "copied-" + std::to_string(index);
    INFO(id);
    const std::optional<Response> response =
        caller.Call("/once/1", id, "POST", "pay");
    REQUIRE(response);
    const std::size_t runs = first_script.RunsOf(id) + second_script.RunsOf(id);
    CHECK(runs <= 1);
    CHECK(response->result_int() == (runs == 1 ? 200 : 503));
    if (response->result_int() != 200) continue;
    ++served;
    CHECK(response->body() == id);
  }
  CHECK(served >= 20);
}

/// Serves requests, but breaks off the answer to one called `broken`. Sends a
/// second copy of the last answer on a connection before the response to a
/// health check.
std::vector<RawStep> ReactWithLateAnswers(
    std::map<std::size_t, std::string>& last_answers,
    const RawRequest& request) {
  std::string& last_answer = last_answers[request.connection];
  if (RawServerStandIn::IsHealthCheck(request)) {
    return {{std::exchange(last_answer, ""), state::Duration(0), RawEnd::kGoOn},
            {RawServerStandIn::Health("d1"), kServiceTime, RawEnd::kGoOn}};
  }
  last_answer = RawServerStandIn::Success("d1", request);
  if (request.id == "broken") {
    return {{last_answer.substr(0, last_answer.size() / 2), kServiceTime,
             RawEnd::kClose}};
  }
  return {{last_answer, 5 * kServiceTime, RawEnd::kGoOn}};
}

// Guards against a late answer in the place of a health response excluding a
// sound server for good.
TEST_CASE("A late answer does not stand for the response to a health check") {
  EdgeWorld world;
  std::map<std::size_t, std::string> last_answers;  // by connection
  const RawServerStandIn server("d1", [&last_answers](const RawRequest& seen) {
    return ReactWithLateAnswers(last_answers, seen);
  });
  world.Store().Delete(std::string(wire::kServerPrefix) + "d2");
  world.Register("d1", server.Port());
  EdgeProcess edge("edge-1", "a", world.Store().Address(), world.Ports());
  edge.Start();
  REQUIRE(WaitFor([&edge] { return edge.IsReady(); }));
  // Two connections to the server, one of which the broken answer closes.
  RawCaller first(edge.Callers());
  RawCaller second(edge.Callers());
  first.Write(RawCaller::Request("/desk/1", "kept-1"));
  second.Write(RawCaller::Request("/desk/1", "kept-2"));
  REQUIRE(first.Read());
  REQUIRE(second.Read());
  REQUIRE(first.Call("/desk/1", "broken"));
  CHECK(WaitFor([&edge] {
    RawCaller caller(edge.Callers());
    const std::optional<Response> response = caller.Call("/desk/1", "after");
    return response && response->result_int() == 200;
  }));
}

/// Where and how a server ends its answer, told by the id of the request:
/// `cut-POSITION-END`.
struct Cut {
  std::size_t position = 0;
  RawEnd end = RawEnd::kClose;

  static constexpr const char* kPrefix = "cut-";

  static std::string IdOf(std::size_t position, RawEnd end) {
    return kPrefix + std::to_string(position) +
           (end == RawEnd::kClose ? "-close" : "-reset");
  }
  static std::optional<Cut> Of(const RawRequest& request) {
    if (request.id.rfind(kPrefix, 0) != 0) return std::nullopt;
    Cut cut;
    cut.position = std::stoul(request.id.substr(std::string(kPrefix).size()));
    cut.end = request.id.find("close") == std::string::npos ? RawEnd::kReset
                                                            : RawEnd::kClose;
    return cut;
  }
};

std::vector<RawStep> ReactWithCuts(const std::string& id,
                                   const RawRequest& request) {
  if (RawServerStandIn::IsHealthCheck(request)) {
    return SingleStep(RawServerStandIn::Health(id));
  }
  const std::string answer = RawServerStandIn::Success(id, request);
  const std::optional<Cut> cut = Cut::Of(request);
  if (!cut) return SingleStep(answer);
  return {{answer.substr(0, cut->position), state::Milliseconds(2), cut->end}};
}

/// The length of the head and all but one byte of the body of a cut answer.
std::size_t LongestCut() {
  RawRequest request;
  request.id = Cut::IdOf(100, RawEnd::kClose);
  return RawServerStandIn::Success("d1", request).size() - 1;
}

// Guards against an answer that ends in its head, or in its body, reaching the
// caller as a whole success with an empty or short body.
TEST_CASE("An answer cut off at any byte is never a success") {
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
  const auto call = [&](const std::string& target, const std::string& id) {
    std::optional<Response> response;
    // Suspected servers are not asked until a check clears them.
    REQUIRE(WaitFor([&] {
      RawCaller caller(edge.Callers());
      response = caller.Call(target, id);
      return response && response->result_int() != 503;
    }));
    return *response;
  };
  for (const RawEnd end : {RawEnd::kClose, RawEnd::kReset}) {
    for (std::size_t position = 0; position <= LongestCut(); ++position) {
      const std::string id = Cut::IdOf(position, end);
      INFO(id);
      // On a connection that is kept from this request.
      REQUIRE(call("/once/1", "whole").result_int() == 200);
      CHECK(call("/once/1", id).result_int() == 502);
      if (position % 10 != 0) continue;
      CHECK(call("/desk/1", id).result_int() == 502);
      const Response gathered = call("/all/1", id);
      CHECK(gathered.result_int() == 200);
      CHECK(gathered[wire::kMissingParts] == "1");
    }
  }
}

// The same while hedges are open and requests arrive slowly.
TEST_CASE("A cut answer loses to the whole one of another server") {
  EdgeWorld world;
  const RawServerStandIn cutting("d1", [](const RawRequest& seen) {
    std::vector<RawStep> steps = ReactWithCuts("d1", seen);
    if (Cut::Of(seen)) steps.front().pause = state::Milliseconds(150);
    return steps;
  });
  const RawServerStandIn slow(
      "d2", RawServerStandIn::Slow("d2", state::Milliseconds(200)));
  world.Register("d1", cutting.Port());
  world.Register("d2", slow.Port());
  EdgeProcess edge("edge-1", "a", world.Store().Address(), world.Ports());
  edge.Start();
  REQUIRE(WaitFor([&edge] { return edge.IsReady(); }));
  for (std::size_t position = 0; position <= LongestCut(); position += 9) {
    const std::string id = Cut::IdOf(position, RawEnd::kClose);
    INFO(id);
    RawCaller caller(edge.Callers());
    const std::string request = RawCaller::Request("/desk/1", id);
    caller.Write(request.substr(0, request.size() / 2));
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    caller.Write(request.substr(request.size() / 2));
    const std::optional<Response> response = caller.Read();
    REQUIRE(response);
    if (response->result_int() == 200) {
      CHECK(response->body() == id);
      CHECK((*response)[wire::kSignature] == "d2/" + id);
    }
  }
}

// Guards against a cut head and the whole copy after it being read as one
// response, with a signature that runs into the copy.
TEST_CASE("A cut head and a copy after it make no answer") {
  EdgeWorld world;
  std::vector<std::unique_ptr<RawServerStandIn>> servers;
  for (const char* id : {"d1", "d2"}) {
    servers.push_back(std::make_unique<RawServerStandIn>(
        id, [id = std::string(id)](const RawRequest& seen) {
          std::vector<RawStep> steps = ReactWithCuts(id, seen);
          steps.front().end = RawEnd::kGoOn;
          if (Cut::Of(seen)) {
            steps.push_back({RawServerStandIn::Success(id, seen)});
          }
          return steps;
        }));
    world.Register(id, servers.back()->Port());
  }
  EdgeProcess edge("edge-1", "a", world.Store().Address(), world.Ports());
  edge.Start();
  REQUIRE(WaitFor([&edge] { return edge.IsReady(); }));
  for (std::size_t position = 1; position < LongestCut(); position += 8) {
    const std::string id = Cut::IdOf(position, RawEnd::kClose);
    INFO(id);
    std::optional<Response> response;
    REQUIRE(WaitFor([&] {
      RawCaller caller(edge.Callers());
      response = caller.Call("/once/1", id);
      return response && response->result_int() != 503;
    }));
    if (response->result_int() != 200) continue;
    const std::string signature((*response)[wire::kSignature]);
    CHECK((signature == "d1/" + id || signature == "d2/" + id));
  }
}

}  // namespace
}  // namespace banyanknot::platform::edge_testing
