#include <catch2/catch.hpp>
#include <future>
#include <string>
#include <utility>

#include "banyanknot/transport/http_connection_pool.h"
#include "banyanknot/transport/io_threads.h"
#include "banyanknot/transport/steady_clock.h"
#include "transport/raw_byte_server.h"

// Servers that break off the body of an answer and send another one after it on
// the open connection, so that the second is read as the rest of the first.
namespace banyanknot::transport {
namespace {

using state::Milliseconds;

constexpr std::chrono::seconds kTestTimeout{20};

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

/// Calls a server that sends `first` and, in another segment, `second`.
HttpCallResult CallOnce(const std::string& first, const std::string& second,
                        ResponseFilter is_answer) {
  SteadyClock clock;
  IoThreads threads{2};
  const RawByteServer server(
      threads.Context(), {first, second, std::chrono::milliseconds(2), true});
  HttpConnectionPool pool(threads.Context(), clock, server.Address(), 1);
  HttpCall call(std::move(is_answer));
  call.request = {"GET", "/call", ""};
  call.deadline = clock.Now() + Milliseconds(10'000);
  call.send_before = call.deadline;
  std::promise<HttpCallResult> promise;
  pool.Call(std::move(call), [&promise](HttpCallResult result) {
    promise.set_value(std::move(result));
  });
  std::future<HttpCallResult> future = promise.get_future();
  REQUIRE(future.wait_for(kTestTimeout) == std::future_status::ready);
  threads.Stop();
  return future.get();
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
