#include "banyanknot/transport/http_connection_pool.h"

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

constexpr const char* kCheck = "/check";
constexpr std::chrono::seconds kPatience{20};

/// One pool over one scripted server.
struct PoolFixture {
  PoolFixture(ScriptedServer::Script script, HttpPoolOptions options)
      : server(threads.Context(), std::move(script)),
        pool(threads.Context(), clock, server.Address(), std::move(options)) {}
  ~PoolFixture() { this->threads.Stop(); }

  std::future<HttpCallResult> Start(const std::string& body,
                                    state::Duration deadline,
                                    bool is_idempotent = true) {
    HttpCall call;
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
    return Take(this->Start(body, deadline, is_idempotent));
  }
  static HttpCallResult Take(std::future<HttpCallResult> future) {
    REQUIRE(future.wait_for(kPatience) == std::future_status::ready);
    return future.get();
  }
  std::size_t CountOf(const std::string& target) const {
    std::size_t count = 0;
    for (const Seen& seen : this->server.Requests()) {
      if (seen.target == target) ++count;
    }
    return count;
  }

  SteadyClock clock;
  IoThreads threads{2};
  ScriptedServer server;
  HttpConnectionPool pool;
};

HttpPoolOptions OptionsOf(std::size_t connections) {
  HttpPoolOptions options;
  options.limits = {connections, connections};
  options.check_target = kCheck;
  options.trusted_quiet = Milliseconds(60'000);
  return options;
}

TEST_CASE("A pool connects from the address that it is told") {
  HttpPoolOptions options = OptionsOf(1);
  options.connect_from = "127.0.0.77";
  PoolFixture fixture([](const Seen&) { return Step::kAnswer; },
                      std::move(options));
  REQUIRE(state::IsOk(fixture.Run("x", Milliseconds(5'000))));
  CHECK(fixture.server.Requests().front().source == "127.0.0.77");
}

TEST_CASE("A pool that can't connect from its address says that nothing ran") {
  HttpPoolOptions options = OptionsOf(1);
  options.connect_from = "192.0.2.1";  // of no machine
  PoolFixture fixture([](const Seen&) { return Step::kAnswer; },
                      std::move(options));
  const HttpCallResult result = fixture.Run("x", Milliseconds(5'000));
  REQUIRE_FALSE(state::IsOk(result));
  CHECK(state::ErrorOf(result) == TransportError::kConnect);
  CHECK(fixture.server.Connections() == 0);
}

struct FaultRow {
  std::string name;
  Step step;
  TransportError expected;
};

TEST_CASE("HttpConnectionPool names each fault of a call exactly") {
  const std::vector<FaultRow> rows{
      {"reset after the request", Step::kReset, TransportError::kLost},
      {"half-closed without an answer", Step::kHalfClose,
       TransportError::kLost},
      {"bytes that are not HTTP", Step::kGarbage, TransportError::kLost},
      {"half an answer", Step::kTruncated, TransportError::kLost},
      {"silence", Step::kSilent, TransportError::kTimeout},
  };
  for (const FaultRow& row : rows) {
    INFO(row.name);
    PoolFixture fixture([&row](const Seen&) { return row.step; }, OptionsOf(1));
    const HttpCallResult result = fixture.Run("x", Milliseconds(300));
    REQUIRE_FALSE(state::IsOk(result));
    CHECK(state::ErrorOf(result) == row.expected);
    CHECK(fixture.CountOf("/call") == 1);
  }
}

TEST_CASE("Bytes after a whole reply condemn their connection") {
  PoolFixture fixture([](const Seen&) { return Step::kAnswerTwice; },
                      OptionsOf(1));
  for (int index = 0; index < 3; ++index) {
    CHECK(state::IsOk(fixture.Run("x", Milliseconds(5'000))));
  }
  CHECK(fixture.server.Connections() == 3);
}

TEST_CASE("A connection is kept for less time than its server announces") {
  PoolFixture fixture([](const Seen&) { return Step::kAnswerShortLived; },
                      OptionsOf(1));
  CHECK(state::IsOk(fixture.Run("x", Milliseconds(5'000))));
  const std::chrono::steady_clock::time_point answered_at =
      std::chrono::steady_clock::now();
  while (fixture.pool.OpenConnections() > 0 &&
         std::chrono::steady_clock::now() - answered_at < kPatience) {
    std::this_thread::yield();
  }
  CHECK(std::chrono::steady_clock::now() - answered_at <
        std::chrono::seconds(2));
}

TEST_CASE("A cancelled call ends at once and closes its connection") {
  std::promise<void> arrived;
  PoolFixture fixture(
      [&arrived](const Seen&) {
        arrived.set_value();
        return Step::kSilent;
      },
      OptionsOf(1));
  HttpCall call;
  call.request = {"POST", "/call", "x"};
  call.deadline = fixture.clock.Now() + Milliseconds(600'000);
  call.send_before = call.deadline;
  std::promise<HttpCallResult> ended;
  const HttpCallHandle handle = fixture.pool.Call(
      std::move(call),
      [&ended](HttpCallResult result) { ended.set_value(std::move(result)); });
  REQUIRE(arrived.get_future().wait_for(kPatience) ==
          std::future_status::ready);
  fixture.pool.Cancel(handle);
  const HttpCallResult result = PoolFixture::Take(ended.get_future());
  REQUIRE_FALSE(state::IsOk(result));
  CHECK(state::ErrorOf(result) == TransportError::kLost);
  CHECK(fixture.pool.OpenConnections() == 0);
}

TEST_CASE("HttpConnectionPool says that nothing was sent to a closed port") {
  PoolFixture fixture([](const Seen&) { return Step::kAnswer; }, OptionsOf(1));
  fixture.server.StopListening();
  const HttpCallResult result = fixture.Run("x", Milliseconds(1'000));
  REQUIRE_FALSE(state::IsOk(result));
  CHECK(state::ErrorOf(result) == TransportError::kConnect);
}

TEST_CASE(
    "HttpConnectionPool takes a refusal beside a live connection as a limit") {
  PoolFixture fixture(
      [](const Seen& seen) {
        return seen.body == "slow" ? Step::kSilent : Step::kAnswer;
      },
      OptionsOf(2));
  REQUIRE(state::IsOk(fixture.Run("x", Milliseconds(5'000))));
  std::future<HttpCallResult> slow = fixture.Start("slow", Milliseconds(1'000));
  fixture.server.StopListening();
  const HttpCallResult refused = fixture.Run("y", Milliseconds(1'000));
  REQUIRE_FALSE(state::IsOk(refused));
  CHECK(state::ErrorOf(refused) == TransportError::kLimit);
  CHECK(state::ErrorOf(PoolFixture::Take(std::move(slow))) ==
        TransportError::kTimeout);
}

TEST_CASE("HttpConnectionPool keeps to its limits of connections and queue") {
  HttpPoolOptions options = OptionsOf(1);
  options.max_waiting = 1;
  options.silence_bound = Milliseconds(60'000);
  PoolFixture fixture([](const Seen&) { return Step::kSilent; }, options);
  std::future<HttpCallResult> carried =
      fixture.Start("first", Milliseconds(2'000));
  std::future<HttpCallResult> waiting =
      fixture.Start("second", Milliseconds(100));
  const HttpCallResult beyond = fixture.Run("third", Milliseconds(10'000));
  REQUIRE_FALSE(state::IsOk(beyond));
  CHECK(state::ErrorOf(beyond) == TransportError::kLimit);
  CHECK(carried.wait_for(std::chrono::seconds(0)) ==
        std::future_status::timeout);
  CHECK(state::ErrorOf(PoolFixture::Take(std::move(waiting))) ==
        TransportError::kLimit);
  CHECK(state::ErrorOf(PoolFixture::Take(std::move(carried))) ==
        TransportError::kTimeout);
  CHECK(fixture.server.Connections() == 1);
  CHECK(fixture.CountOf("/call") == 1);
}

TEST_CASE(
    "HttpConnectionPool replaces a silent connection while others answer") {
  HttpPoolOptions options = OptionsOf(1);
  options.silence_bound = Milliseconds(200);
  PoolFixture fixture(
      [](const Seen& seen) {
        return seen.connection == 0 ? Step::kSilent : Step::kAnswer;
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

TEST_CASE("HttpConnectionPool checks a quiet connection before it is used") {
  HttpPoolOptions options = OptionsOf(1);
  options.trusted_quiet = Milliseconds(0);
  options.check_timeout = Milliseconds(50);
  PoolFixture fixture(
      [](const Seen& seen) {
        const bool went_silent = seen.connection == 0 && seen.target == kCheck;
        return went_silent ? Step::kSilent : Step::kAnswer;
      },
      options);
  REQUIRE(state::IsOk(fixture.Run("first", Milliseconds(5'000))));
  REQUIRE(state::IsOk(fixture.Run("second", Milliseconds(5'000))));
  std::vector<Seen> seen = fixture.server.Requests();
  for (const Seen& request : seen) {
    if (request.body == "second") CHECK(request.connection == 1);
  }
  CHECK(fixture.CountOf("/call") == 2);
}

TEST_CASE(
    "HttpConnectionPool sends what can't be repeated after a check only") {
  PoolFixture fixture([](const Seen&) { return Step::kAnswer; }, OptionsOf(1));
  REQUIRE(state::IsOk(fixture.Run("x", Milliseconds(5'000), false)));
  const std::vector<Seen> seen = fixture.server.Requests();
  REQUIRE(seen.size() == 2);
  CHECK(seen[0].target == kCheck);
  CHECK(seen[1].target == "/call");
}

TEST_CASE("HttpConnectionPool proves a call not run when its check is silent") {
  HttpPoolOptions options = OptionsOf(1);
  options.check_timeout = Milliseconds(30);
  PoolFixture fixture([](const Seen&) { return Step::kSilent; }, options);
  const HttpCallResult result = fixture.Run("x", Milliseconds(200), false);
  REQUIRE_FALSE(state::IsOk(result));
  CHECK(state::ErrorOf(result) == TransportError::kExpired);
  CHECK(fixture.CountOf("/call") == 0);
}

TEST_CASE("HttpConnectionPool sees the server's close of an idle connection") {
  std::promise<void> closed;
  HttpPoolOptions options = OptionsOf(1);
  options.on_closed_by_server = [&closed](state::Duration /*quiet_for*/) {
    closed.set_value();
  };
  PoolFixture fixture(
      [](const Seen& seen) {
        return seen.connection == 0 ? Step::kAnswerAndClose : Step::kAnswer;
      },
      options);
  REQUIRE(state::IsOk(fixture.Run("x", Milliseconds(5'000))));
  REQUIRE(closed.get_future().wait_for(kPatience) == std::future_status::ready);
  CHECK(fixture.pool.OpenConnections() == 0);
  CHECK(state::IsOk(fixture.Run("y", Milliseconds(5'000))));
}

TEST_CASE("HttpConnectionPool hands each late call its own answer") {
  PoolFixture fixture([](const Seen&) { return Step::kAnswer; }, OptionsOf(3));
  std::vector<std::future<HttpCallResult>> results;
  for (int call = 0; call < 100; ++call) {
    results.push_back(fixture.Start(std::to_string(call), Milliseconds(9'000)));
  }
  for (std::future<HttpCallResult>& result : results) {
    CHECK(state::IsOk(PoolFixture::Take(std::move(result))));
  }
  CHECK(fixture.server.Connections() <= 3);
  CHECK(fixture.CountOf("/call") == 100);
}

}  // namespace
}  // namespace banyanknot::transport
