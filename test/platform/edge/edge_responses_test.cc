#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
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

}  // namespace
}  // namespace banyanknot::platform::edge_testing
