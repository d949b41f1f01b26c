#include "support/broken_heads.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>

#include "banyanknot/transport/http_connection_pool.h"
#include "transport/call_raw_server.h"

// Servers whose responses have heads that no final answer can have.
namespace banyanknot::transport {
namespace {

using state::Milliseconds;
using testing::AllBrokenHeads;
using testing::BrokenHead;

/// Calls a server that sends the same bytes on each connection, in two pieces
/// cut at `cut`, then closes it.
HttpCallResult CallOnce(const std::string& bytes, bool is_idempotent,
                        state::Duration deadline,
                        std::size_t cut = std::string::npos) {
  HttpPoolOptions options;
  options.check_target = "/check";
  HttpCall call(AcceptAnyResponse);
  call.is_idempotent = is_idempotent;
  return CallRawServer(bytes.substr(0, cut),
                       cut < bytes.size() ? bytes.substr(cut) : "",
                       std::move(call), deadline, std::move(options));
}

TEST_CASE("A response with a broken head is reported as lost") {
  REQUIRE(state::IsOk(CallOnce(BrokenHead().Response("X-Sound: 1\r\n", "whole"),
                               true, Milliseconds(10'000))));
  for (const BrokenHead& head : AllBrokenHeads()) {
    INFO(head.name);
    const HttpCallResult result = CallOnce(
        head.Response("X-Sound: 1\r\n", "whole"), true, Milliseconds(10'000));
    REQUIRE_FALSE(state::IsOk(result));
    CHECK(state::ErrorOf(result) == TransportError::kLost);
  }
}

TEST_CASE("A head is judged alike wherever it is cut on its way") {
  // A body may have lines that begin with a blank.
  const std::string body = "\r\n \r\n\t \r\n";
  const std::string sound = BrokenHead().Response("X-Sound: a  b\r\n", body);
  const std::string folded =
      BrokenHead().Response("X-Sound: a\r\n b\r\n", body);
  for (std::size_t cut = 1; cut < sound.size(); ++cut) {
    INFO(cut);
    const HttpCallResult result =
        CallOnce(sound, true, Milliseconds(10'000), cut);
    REQUIRE(state::IsOk(result));
    CHECK(state::ValueOf(result).body == body);
  }
  for (std::size_t cut = 1; cut < folded.size(); ++cut) {
    INFO(cut);
    CHECK_FALSE(state::IsOk(CallOnce(folded, true, Milliseconds(10'000), cut)));
  }
}

TEST_CASE("A response with a broken head passes no check of a connection") {
  // A call that is not idempotent is sent only after a check.
  for (const BrokenHead& head : AllBrokenHeads()) {
    INFO(head.name);
    const HttpCallResult result = CallOnce(
        head.Response("X-Sound: 1\r\n", "whole"), false, Milliseconds(200));
    REQUIRE_FALSE(state::IsOk(result));
    // No byte of the call was written.
    const TransportError error = state::ErrorOf(result);
    CHECK((error == TransportError::kExpired ||
           error == TransportError::kConnect));
  }
}

}  // namespace
}  // namespace banyanknot::transport
