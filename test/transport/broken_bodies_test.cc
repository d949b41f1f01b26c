#include <catch2/catch.hpp>
#include <string>
#include <utility>

#include "banyanknot/transport/http_connection_pool.h"
#include "transport/call_raw_server.h"

// Servers that break off the body of an answer and send another one after it on
// the open connection, so that the second is read as the rest of the first.
namespace banyanknot::transport {
namespace {

std::string HeadOf(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-More: 1\r\n";
}

std::string Whole(const std::string& id, const std::string& body) {
  return HeadOf(id) + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

/// Accepts what names the call "mine" as its own.
bool IsMine(const protocol::HttpResponse& response) {
  for (const state::HeaderField& field : response.headers) {
    if (field.name == "X-Id") return field.value == "mine";
  }
  return false;
}

HttpCallResult CallOnce(const std::string& first, const std::string& second,
                        ResponseFilter is_answer) {
  return CallRawServer(first, second, HttpCall(std::move(is_answer)),
                       state::Milliseconds(10'000),
                       HttpPoolOptions::Unchecked(1));
}

// Guards against a success made of two answers (MIXED).
TEST_CASE("An answer that breaks off before its copy is reported as lost") {
  for (const std::string& body :
       {std::string("short"), std::string(400, 'x')}) {
    const std::string whole = Whole("mine", body);
    for (std::size_t cut = 1; cut < whole.size(); ++cut) {
      INFO(body.size() << ", cut at " << cut);
      const HttpCallResult result =
          CallOnce(whole.substr(0, cut), whole, IsMine);
      REQUIRE_FALSE(state::IsOk(result));
      CHECK(state::ErrorOf(result) == TransportError::kLost);
    }
  }
}

TEST_CASE("An answer with another one within its body is reported as lost") {
  for (const std::string& body :
       {HeadOf("mine"), "begins" + HeadOf("mine") + "\r\nends",
        HeadOf("other") + "\r\n" + HeadOf("mine"),
        HeadOf("other") + HeadOf("mine"), "HTTP/1.1 2" + HeadOf("mine")}) {
    INFO(body);
    CHECK_FALSE(state::IsOk(CallOnce(Whole("mine", body), "", IsMine)));
    const std::string until_closed = HeadOf("mine") + "\r\n" + body;
    CHECK_FALSE(state::IsOk(CallOnce(until_closed, "", IsMine)));
  }
}

// Guards against sound answers being lost for what their bodies look like.
TEST_CASE("A body may hold heads that are no answers to its call") {
  const std::string fields = HeadOf("mine");
  for (const std::string& body :
       {HeadOf("other") + "\r\n", fields.substr(fields.find("\r\n")),
        std::string("HTTP/1.1 200 OK\r\n"), std::string("HTTP/1.1 2"),
        std::string("HTTP/1.1 200"), std::string("H"), std::string()}) {
    INFO(body);
    const std::string whole = Whole("mine", body);
    for (const std::string& after : {std::string(), whole}) {
      const HttpCallResult result = CallOnce(whole, after, IsMine);
      REQUIRE(state::IsOk(result));
      CHECK(state::ValueOf(result).body == body);
      // In one segment, so that the copy has arrived with the answer.
      CHECK(state::IsOk(CallOnce(whole + after, "", IsMine)));
    }
  }
  const HttpCallResult any =
      CallOnce(Whole("mine", HeadOf("mine")), "", AcceptAnyResponse);
  CHECK(state::IsOk(any));
}

}  // namespace
}  // namespace banyanknot::transport
