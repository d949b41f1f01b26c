#include "banyanknot/transport/http_connection_pool.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "banyanknot/transport/io_threads.h"
#include "banyanknot/transport/steady_clock.h"
#include "transport/scripted_server.h"

namespace banyanknot::transport {
namespace {

using state::Milliseconds;

constexpr const char* kCheckTarget = "/check";
constexpr std::chrono::seconds kTestTimeout{20};

/// A pool connected to a scripted server.
struct PoolFixture {
  PoolFixture(ScriptedServer::Script script, HttpPoolOptions options)
      : server(threads.Context(), std::move(script)),
        pool(threads.Context(), clock, server.Address(),
             CountMisplaced(std::move(options))) {}
  ~PoolFixture() { this->threads.Stop(); }

  std::future<HttpCallResult> Start(const std::string& body,
                                    state::Duration deadline,
                                    bool is_idempotent = true) {
    HttpCall call(AcceptAnyResponse);
    call.request = {"POST", "/call", body};
    call.deadline = this->clock.Now() + deadline;
    call.send_before = call.deadline;
    call.is_idempotent = is_idempotent;
    const std::shared_ptr<std::promise<HttpCallResult>> promise =
        std::make_shared<std::promise<HttpCallResult>>();
    this->pool.Call(std::move(call), [promise](HttpCallResult result) {
      promise->set_value(std::move(result));
    });
    return promise->get_future();
  }
  HttpCallResult Run(const std::string& body, state::Duration deadline,
                     bool is_idempotent = true) {
    return Await(this->Start(body, deadline, is_idempotent));
  }
  static HttpCallResult Await(std::future<HttpCallResult> future) {
    REQUIRE(future.wait_for(kTestTimeout) == std::future_status::ready);
    return future.get();
  }
  std::size_t CountOf(const std::string& target) const {
    std::size_t count = 0;
    for (const ReceivedRequest& seen : this->server.Requests()) {
      if (seen.target == target) ++count;
    }
    return count;
  }

  HttpPoolOptions CountMisplaced(HttpPoolOptions options) {
    options.on_misplaced_response = [this] { ++this->misplaced_responses; };
    return options;
  }

  std::atomic<int> misplaced_responses{0};
  SteadyClock clock;
  IoThreads threads{2};
  ScriptedServer server;
  HttpConnectionPool pool;
};

HttpPoolOptions OptionsOf(std::size_t connections) {
  HttpPoolOptions options;
  options.limits = {connections, connections};
  options.check_target = kCheckTarget;
  options.check_after_inactivity = Milliseconds(60'000);
  return options;
}

TEST_CASE("HttpConnectionPool connects from the configured local address") {
  HttpPoolOptions options = OptionsOf(1);
  options.connect_from = "127.0.0.77";
  PoolFixture fixture(
      [](const ReceivedRequest&) { return ResponseMode::kAnswer; },
      std::move(options));
  REQUIRE(state::IsOk(fixture.Run("x", Milliseconds(5'000))));
  CHECK(fixture.server.Requests().front().source == "127.0.0.77");
}

TEST_CASE(
    "HttpConnectionPool reports kConnect if its local address is unavailable") {
  HttpPoolOptions options = OptionsOf(1);
  options.connect_from = "192.0.2.1";  // TEST-NET-1, never local
  PoolFixture fixture(
      [](const ReceivedRequest&) { return ResponseMode::kAnswer; },
      std::move(options));
  const HttpCallResult result = fixture.Run("x", Milliseconds(5'000));
  REQUIRE_FALSE(state::IsOk(result));
  CHECK(state::ErrorOf(result) == TransportError::kConnect);
  CHECK(fixture.server.Connections() == 0);
}

struct FaultRow {
  std::string name;
  ResponseMode mode;
  TransportError expected;
};

TEST_CASE("HttpConnectionPool maps each connection fault to its error") {
  const std::vector<FaultRow> rows{
      {"reset after the request", ResponseMode::kReset, TransportError::kLost},
      {"half-closed without an answer", ResponseMode::kHalfClose,
       TransportError::kLost},
      {"bytes that are not HTTP", ResponseMode::kGarbage,
       TransportError::kLost},
      {"truncated answer", ResponseMode::kTruncated, TransportError::kLost},
      {"no answer", ResponseMode::kSilent, TransportError::kTimeout},
  };
  for (const FaultRow& row : rows) {
    INFO(row.name);
    PoolFixture fixture([&row](const ReceivedRequest&) { return row.mode; },
                        OptionsOf(1));
    const HttpCallResult result = fixture.Run("x", Milliseconds(300));
    REQUIRE_FALSE(state::IsOk(result));
    CHECK(state::ErrorOf(result) == row.expected);
    CHECK(fixture.CountOf("/call") == 1);
  }
}

TEST_CASE("Extra bytes after a complete reply close the connection") {
  PoolFixture fixture(
      [](const ReceivedRequest&) { return ResponseMode::kAnswerTwice; },
      OptionsOf(1));
  for (int index = 0; index < 3; ++index) {
    CHECK(state::IsOk(fixture.Run("x", Milliseconds(5'000))));
  }
  CHECK(fixture.server.Connections() == 3);
}

TEST_CASE("An idle connection closes before the server's Keep-Alive timeout") {
  PoolFixture fixture(
      [](const ReceivedRequest&) { return ResponseMode::kAnswerShortLived; },
      OptionsOf(1));
  CHECK(state::IsOk(fixture.Run("x", Milliseconds(5'000))));
  const std::chrono::steady_clock::time_point answered_at =
      std::chrono::steady_clock::now();
  while (fixture.pool.OpenConnections() > 0 &&
         std::chrono::steady_clock::now() - answered_at < kTestTimeout) {
    std::this_thread::yield();
  }
  CHECK(std::chrono::steady_clock::now() - answered_at <
        std::chrono::seconds(2));
}

TEST_CASE("Cancelling a call completes it and closes its connection") {
  std::promise<void> arrived;
  PoolFixture fixture(
      [&arrived](const ReceivedRequest&) {
        arrived.set_value();
        return ResponseMode::kSilent;
      },
      OptionsOf(1));
  HttpCall call(AcceptAnyResponse);
  call.request = {"POST", "/call", "x"};
  call.deadline = fixture.clock.Now() + Milliseconds(600'000);
  call.send_before = call.deadline;
  std::promise<HttpCallResult> ended;
  const HttpCallHandle handle = fixture.pool.Call(
      std::move(call),
      [&ended](HttpCallResult result) { ended.set_value(std::move(result)); });
  REQUIRE(arrived.get_future().wait_for(kTestTimeout) ==
          std::future_status::ready);
  fixture.pool.Cancel(handle);
  const HttpCallResult result = PoolFixture::Await(ended.get_future());
  REQUIRE_FALSE(state::IsOk(result));
  CHECK(state::ErrorOf(result) == TransportError::kLost);
  CHECK(fixture.pool.OpenConnections() == 0);
}

TEST_CASE("HttpConnectionPool reports kConnect for a closed port") {
  PoolFixture fixture(
      [](const ReceivedRequest&) { return ResponseMode::kAnswer; },
      OptionsOf(1));
  fixture.server.StopListening();
  const HttpCallResult result = fixture.Run("x", Milliseconds(1'000));
  REQUIRE_FALSE(state::IsOk(result));
  CHECK(state::ErrorOf(result) == TransportError::kConnect);
}

TEST_CASE(
    "HttpConnectionPool reports kLimit if refused beside an open connection") {
  PoolFixture fixture(
      [](const ReceivedRequest& seen) {
        return seen.body == "slow" ? ResponseMode::kSilent
                                   : ResponseMode::kAnswer;
      },
      OptionsOf(2));
  REQUIRE(state::IsOk(fixture.Run("x", Milliseconds(5'000))));
  std::future<HttpCallResult> slow = fixture.Start("slow", Milliseconds(1'000));
  fixture.server.StopListening();
  const HttpCallResult refused = fixture.Run("y", Milliseconds(1'000));
  REQUIRE_FALSE(state::IsOk(refused));
  CHECK(state::ErrorOf(refused) == TransportError::kLimit);
  CHECK(state::ErrorOf(PoolFixture::Await(std::move(slow))) ==
        TransportError::kTimeout);
}

TEST_CASE("HttpConnectionPool enforces its connection and queue limits") {
  HttpPoolOptions options = OptionsOf(1);
  options.max_queued_calls = 1;
  options.silence_timeout = Milliseconds(60'000);
  PoolFixture fixture(
      [](const ReceivedRequest&) { return ResponseMode::kSilent; }, options);
  std::future<HttpCallResult> active =
      fixture.Start("first", Milliseconds(2'000));
  std::future<HttpCallResult> queued =
      fixture.Start("second", Milliseconds(100));
  const HttpCallResult rejected = fixture.Run("third", Milliseconds(10'000));
  REQUIRE_FALSE(state::IsOk(rejected));
  CHECK(state::ErrorOf(rejected) == TransportError::kLimit);
  CHECK(active.wait_for(std::chrono::seconds(0)) ==
        std::future_status::timeout);
  CHECK(state::ErrorOf(PoolFixture::Await(std::move(queued))) ==
        TransportError::kLimit);
  CHECK(state::ErrorOf(PoolFixture::Await(std::move(active))) ==
        TransportError::kTimeout);
  CHECK(fixture.server.Connections() == 1);
  CHECK(fixture.CountOf("/call") == 1);
}

TEST_CASE(
    "HttpConnectionPool replaces a silent connection while others answer") {
  HttpPoolOptions options = OptionsOf(1);
  options.silence_timeout = Milliseconds(200);
  PoolFixture fixture(
      [](const ReceivedRequest& seen) {
        return seen.connection == 0 ? ResponseMode::kSilent
                                    : ResponseMode::kAnswer;
      },
      options);
  std::future<HttpCallResult> silent =
      fixture.Start("silent", Milliseconds(5'000));
  for (int call = 0; call < 5; ++call) {
    CHECK(state::IsOk(fixture.Run("x", Milliseconds(4'000))));
  }
  CHECK(silent.wait_for(std::chrono::seconds(0)) ==
        std::future_status::timeout);
  CHECK(fixture.pool.OpenConnections() == 2);
}

TEST_CASE(
    "HttpConnectionPool checks an inactive connection before the next call") {
  HttpPoolOptions options = OptionsOf(1);
  options.check_after_inactivity = Milliseconds(0);
  options.check_timeout = Milliseconds(50);
  PoolFixture fixture(
      [](const ReceivedRequest& seen) {
        const bool went_silent =
            seen.connection == 0 && seen.target == kCheckTarget;
        return went_silent ? ResponseMode::kSilent : ResponseMode::kAnswer;
      },
      options);
  REQUIRE(state::IsOk(fixture.Run("first", Milliseconds(5'000))));
  REQUIRE(state::IsOk(fixture.Run("second", Milliseconds(5'000))));
  std::vector<ReceivedRequest> seen = fixture.server.Requests();
  for (const ReceivedRequest& request : seen) {
    if (request.body == "second") CHECK(request.connection == 1);
  }
  CHECK(fixture.CountOf("/call") == 2);
}

TEST_CASE("HttpConnectionPool sends a non-idempotent call only after a check") {
  PoolFixture fixture(
      [](const ReceivedRequest&) { return ResponseMode::kAnswer; },
      OptionsOf(1));
  REQUIRE(state::IsOk(fixture.Run("x", Milliseconds(5'000), false)));
  const std::vector<ReceivedRequest> seen = fixture.server.Requests();
  REQUIRE(seen.size() == 2);
  CHECK(seen[0].target == kCheckTarget);
  CHECK(seen[1].target == "/call");
}

TEST_CASE("HttpConnectionPool reports kExpired if the check gets no reply") {
  HttpPoolOptions options = OptionsOf(1);
  options.check_timeout = Milliseconds(30);
  PoolFixture fixture(
      [](const ReceivedRequest&) { return ResponseMode::kSilent; }, options);
  const HttpCallResult result = fixture.Run("x", Milliseconds(200), false);
  REQUIRE_FALSE(state::IsOk(result));
  CHECK(state::ErrorOf(result) == TransportError::kExpired);
  CHECK(fixture.CountOf("/call") == 0);
}

TEST_CASE(
    "HttpConnectionPool detects a close of an idle connection by the server") {
  std::promise<void> closed;
  HttpPoolOptions options = OptionsOf(1);
  options.on_closed_by_server = [&closed](state::Duration /*idle_for*/) {
    closed.set_value();
  };
  PoolFixture fixture(
      [](const ReceivedRequest& seen) {
        return seen.connection == 0 ? ResponseMode::kAnswerAndClose
                                    : ResponseMode::kAnswer;
      },
      options);
  REQUIRE(state::IsOk(fixture.Run("x", Milliseconds(5'000))));
  REQUIRE(closed.get_future().wait_for(kTestTimeout) ==
          std::future_status::ready);
  CHECK(fixture.pool.OpenConnections() == 0);
  CHECK(state::IsOk(fixture.Run("y", Milliseconds(5'000))));
}

TEST_CASE("HttpConnectionPool completes all queued calls") {
  PoolFixture fixture(
      [](const ReceivedRequest&) { return ResponseMode::kAnswer; },
      OptionsOf(3));
  std::vector<std::future<HttpCallResult>> results;
  for (int call = 0; call < 100; ++call) {
    results.push_back(fixture.Start(std::to_string(call), Milliseconds(9'000)));
  }
  for (std::future<HttpCallResult>& result : results) {
    CHECK(state::IsOk(PoolFixture::Await(std::move(result))));
  }
  CHECK(fixture.server.Connections() <= 3);
  CHECK(fixture.CountOf("/call") == 100);
}

TEST_CASE("An answer that breaks off is never a success") {
  for (const ResponseMode mode :
       {ResponseMode::kTruncated, ResponseMode::kChunkedCut,
        ResponseMode::kNoLengthReset, ResponseMode::kGarbage,
        ResponseMode::kReset}) {
    INFO(static_cast<int>(mode));
    PoolFixture fixture([mode](const ReceivedRequest&) { return mode; },
                        OptionsOf(1));
    CHECK_FALSE(state::IsOk(fixture.Run("x", Milliseconds(5'000))));
  }
  PoolFixture fixture(
      [](const ReceivedRequest&) { return ResponseMode::kNoLengthClose; },
      OptionsOf(1));
  CHECK(state::IsOk(fixture.Run("x", Milliseconds(5'000))));
}

TEST_CASE("A call gets its own answer after a late copy of another's") {
  // The server sends a second copy of the first answer when the second is due.
  PoolFixture fixture(
      [](const ReceivedRequest& seen) {
        return seen.body == "0" ? ResponseMode::kEchoTwiceLate
                                : ResponseMode::kEcho;
      },
      OptionsOf(1));
  const auto call = [&fixture](const std::string& body) {
    HttpCall sent([body](const protocol::HttpResponse& response) {
      return response.body == body;
    });
    sent.request = {"POST", "/call", body};
    sent.deadline = fixture.clock.Now() + Milliseconds(5'000);
    sent.send_before = sent.deadline;
    const std::shared_ptr<std::promise<HttpCallResult>> promise =
        std::make_shared<std::promise<HttpCallResult>>();
    fixture.pool.Call(std::move(sent), [promise](HttpCallResult result) {
      promise->set_value(std::move(result));
    });
    return PoolFixture::Await(promise->get_future());
  };
  const HttpCallResult first = call("0");
  REQUIRE(state::IsOk(first));
  CHECK(state::ValueOf(first).body == "0");
  for (const char* body : {"1", "2", "3", "4"}) {
    const HttpCallResult next = call(body);
    REQUIRE(state::IsOk(next));
    CHECK(state::ValueOf(next).body == body);
  }
  CHECK(fixture.misplaced_responses == 1);
  CHECK(fixture.server.Connections() == 2);
}

// Guards against a late copy of an answer being delivered to the next call.
TEST_CASE("A call that gets only other calls' answers fails") {
  // Never the body that is asked for.
  PoolFixture fixture(
      [](const ReceivedRequest&) { return ResponseMode::kAnswer; },
      OptionsOf(1));
  HttpCall sent([](const protocol::HttpResponse&) { return false; });
  sent.request = {"POST", "/call", "x"};
  sent.deadline = fixture.clock.Now() + Milliseconds(300);
  sent.send_before = sent.deadline;
  std::promise<HttpCallResult> promise;
  fixture.pool.Call(std::move(sent), [&promise](HttpCallResult result) {
    promise.set_value(std::move(result));
  });
  const HttpCallResult result = PoolFixture::Await(promise.get_future());
  REQUIRE_FALSE(state::IsOk(result));
  CHECK(state::ErrorOf(result) == TransportError::kTimeout);
  CHECK(fixture.misplaced_responses == 1);
}

// Guards against the rest of a check's response being read as an answer.
TEST_CASE("A check with two responses costs its connection") {
  HttpPoolOptions options = OptionsOf(1);
  options.check_after_inactivity = Milliseconds(0);
  PoolFixture fixture(
      [](const ReceivedRequest& seen) {
        return seen.target == kCheckTarget ? ResponseMode::kAnswerTwice
                                           : ResponseMode::kEcho;
      },
      std::move(options));
  for (const char* body : {"1", "2", "3"}) {
    const HttpCallResult result = fixture.Run(body, Milliseconds(1'000));
    if (state::IsOk(result)) CHECK(state::ValueOf(result).body == body);
  }
  CHECK(fixture.server.Connections() > 1);
}

// Guards against a call that never ends, and holds its place for good, where
// the HTTP library throws as its request is prepared.
TEST_CASE("A call that HTTP has no form for ends, and others go on") {
  PoolFixture fixture(
      [](const ReceivedRequest&) { return ResponseMode::kAnswer; },
      OptionsOf(1));
  const std::vector<protocol::HttpRequest> requests{
      {"TRACE", "/call", "plan"},
      {"GET", "/call", "", {{"X", std::string(70'000, 'x')}}},
  };
  for (const protocol::HttpRequest& request : requests) {
    for (int number = 0; number < 3; ++number) {
      HttpCall call(AcceptAnyResponse);
      call.request = request;
      call.deadline = fixture.clock.Now() + Milliseconds(5'000);
      call.send_before = call.deadline;
      std::promise<HttpCallResult> ended;
      fixture.pool.Call(std::move(call), [&ended](HttpCallResult result) {
        ended.set_value(std::move(result));
      });
      const HttpCallResult result = PoolFixture::Await(ended.get_future());
      REQUIRE_FALSE(state::IsOk(result));
      CHECK(state::ErrorOf(result) == TransportError::kWithdrawn);
    }
  }
  CHECK(fixture.CountOf("/call") == 0);
  CHECK(state::IsOk(fixture.Run("x", Milliseconds(5'000))));
}

}  // namespace
}  // namespace banyanknot::transport
