#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "banyanknot/coordination/servers/connection_shares.h"
#include "banyanknot/coordination/servers/server_connection_listener.h"
#include "banyanknot/transport/backend_health_http_client.h"
#include "banyanknot/transport/backend_pools.h"
#include "banyanknot/transport/http_connection_pool.h"
#include "banyanknot/transport/io_threads.h"
#include "banyanknot/transport/steady_clock.h"
#include "support/wait_until.h"
#include "transport/raw_byte_server.h"

// Servers whose bytes go on until the client closes.
namespace banyanknot::transport {
namespace {

using state::Milliseconds;

constexpr std::chrono::seconds kTestTimeout{20};
constexpr std::size_t kMaxBodyBytes = 256u << 10;
constexpr std::size_t kBudgetBytes = 4u << 20;
/// A few times the limit of a body, and what sockets hold.
constexpr std::size_t kMaxSentBytes = 16u << 20;

/// A pool connected to a server that sends fixed bytes.
struct EndlessFixture {
  explicit EndlessFixture(RawBytes bytes, std::size_t connections = 1)
      : budget(std::make_shared<ReceiveBudget>(kBudgetBytes)),
        server(threads.Context(), std::move(bytes)),
        pool(threads.Context(), clock, server.Address(), Options(connections)) {
  }
  ~EndlessFixture() { this->threads.Stop(); }

  HttpPoolOptions Options(std::size_t connections) const {
    HttpPoolOptions options = HttpPoolOptions::Unchecked(connections);
    options.receive_budget = this->budget;
    return options;
  }
  std::future<HttpCallResult> Start(state::Duration deadline) {
    HttpCall call(AcceptAnyResponse);
    call.request = {"GET", "/call", ""};
    call.deadline = this->clock.Now() + deadline;
    call.send_before = call.deadline;
    call.max_response_bytes = kMaxBodyBytes;
    const std::shared_ptr<std::promise<HttpCallResult>> promise =
        std::make_shared<std::promise<HttpCallResult>>();
    this->pool.Call(std::move(call), [promise](HttpCallResult result) {
      promise->set_value(std::move(result));
    });
    return promise->get_future();
  }
  static HttpCallResult Await(std::future<HttpCallResult> future) {
    REQUIRE(future.wait_for(kTestTimeout) == std::future_status::ready);
    return future.get();
  }

  SteadyClock clock;
  IoThreads threads{2};
  std::shared_ptr<ReceiveBudget> budget;
  RawByteServer server;
  HttpConnectionPool pool;
};

TEST_CASE("Bytes without end are cut off long before the deadline") {
  for (const EndlessBytes& row : AllEndlessBytes()) {
    INFO(row.name);
    EndlessFixture fixture(row.bytes);
    const state::TimePoint start = fixture.clock.Now();
    const HttpCallResult result =
        EndlessFixture::Await(fixture.Start(Milliseconds(15'000)));
    REQUIRE_FALSE(state::IsOk(result));
    // It may have run: neither error says that no byte was written.
    const TransportError error = state::ErrorOf(result);
    CHECK(
        (error == TransportError::kTooLarge || error == TransportError::kLost));
    CHECK(fixture.clock.Now() - start < Milliseconds(10'000));
    CHECK(fixture.server.BytesSent() < kMaxSentBytes);
    CHECK(testing::WaitUntil([&] { return fixture.server.Closed() == 1; },
                             Milliseconds(10'000)));
    CHECK(fixture.budget->Reserved() == 0);
  }
}

TEST_CASE("Bytes that go on arriving slowly extend no deadline") {
  for (EndlessBytes row : AllEndlessBytes()) {
    INFO(row.name);
    if (row.bytes.repeat.size() > 64) row.bytes.repeat.resize(16);
    row.bytes.pause = std::chrono::milliseconds(20);
    EndlessFixture fixture(row.bytes);
    const state::TimePoint start = fixture.clock.Now();
    const HttpCallResult result =
        EndlessFixture::Await(fixture.Start(Milliseconds(400)));
    REQUIRE_FALSE(state::IsOk(result));
    CHECK(fixture.clock.Now() - start < Milliseconds(2'000));
    CHECK(testing::WaitUntil([&] { return fixture.server.Closed() == 1; },
                             Milliseconds(10'000)));
  }
}

// Guards against a refused reservation counting for a moment: it was seen above
// the limit, and others that would fit were refused meanwhile.
TEST_CASE("A refused reservation is never counted") {
  ReceiveBudget budget(1'000);
  std::atomic<bool> is_stopping{false};
  std::vector<std::thread> threads;
  for (int index = 0; index < 3; ++index) {
    threads.emplace_back([&] {
      while (!is_stopping) budget.TryReserve(1'001);
    });
  }
  std::size_t refused = 0;
  std::size_t most_reserved = 0;
  for (int round = 0; round < 200'000; ++round) {
    most_reserved = std::max(most_reserved, budget.Reserved());
    if (budget.TryReserve(1'000)) {
      budget.Release(1'000);
    } else {
      ++refused;
    }
  }
  is_stopping = true;
  for (std::thread& thread : threads) thread.join();
  CHECK(most_reserved == 0);
  CHECK(refused == 0);
}

TEST_CASE("A hundred endless bodies together stay within the budget") {
  constexpr std::size_t kCalls = 100;
  EndlessFixture fixture(
      {"HTTP/1.1 200 OK\r\n\r\n", std::string(4u << 10, 'x')}, kCalls);
  std::vector<std::future<HttpCallResult>> calls;
  for (std::size_t index = 0; index < kCalls; ++index) {
    calls.push_back(fixture.Start(Milliseconds(15'000)));
  }
  std::size_t most_reserved = 0;
  for (std::future<HttpCallResult>& call : calls) {
    while (call.wait_for(std::chrono::milliseconds(1)) !=
           std::future_status::ready) {
      most_reserved = std::max(most_reserved, fixture.budget->Reserved());
    }
    CHECK_FALSE(state::IsOk(call.get()));
  }
  CHECK(most_reserved > 0);
  CHECK(most_reserved <= kBudgetBytes);
  CHECK(fixture.budget->Refusals() > 0);
  CHECK(testing::WaitUntil([&] { return fixture.budget->Reserved() == 0; },
                           Milliseconds(10'000)));
}

// Guards against heads, which may be as long as 64 KiB, being held beside the
// budget.
TEST_CASE("A hundred unfinished heads together stay within the budget") {
  constexpr std::size_t kCalls = 100;
  EndlessFixture fixture(
      {"HTTP/1.1 200 OK\r\nX-Long: " + std::string(60'000, 'x'), "x",
       std::chrono::milliseconds(100)},
      kCalls);
  std::vector<std::future<HttpCallResult>> calls;
  for (std::size_t index = 0; index < kCalls; ++index) {
    calls.push_back(fixture.Start(Milliseconds(1'000)));
  }
  std::size_t most_reserved = 0;
  std::size_t too_large = 0;
  for (std::future<HttpCallResult>& call : calls) {
    while (call.wait_for(std::chrono::milliseconds(1)) !=
           std::future_status::ready) {
      most_reserved = std::max(most_reserved, fixture.budget->Reserved());
    }
    const HttpCallResult result = call.get();
    REQUIRE_FALSE(state::IsOk(result));
    if (state::ErrorOf(result) == TransportError::kTooLarge) ++too_large;
  }
  CHECK(most_reserved > kBudgetBytes / 2);
  CHECK(most_reserved <= kBudgetBytes);
  CHECK(too_large > 0);
  CHECK(testing::WaitUntil([&] { return fixture.budget->Reserved() == 0; },
                           Milliseconds(10'000)));
}

/// One connection to each server.
class SingleShares : public coordination::ConnectionShares {
 public:
  coordination::ConnectionShare Of(const state::ServerId&,
                                   const state::Endpoint&) const override {
    return {1, 1};
  }
};

class IgnoringListener : public coordination::ServerConnectionListener {
 public:
  void OnClosedByServer(const state::ServerId&, state::Duration) override {}
};

// Guards against one server's response to a small call taking the whole budget.
TEST_CASE("A response without end to a health check is cut off early") {
  SteadyClock clock;
  IoThreads threads{2};
  const RawByteServer server(threads.Context(), {"HTTP/1.1 200 OK\r\n\r\n",
                                                 std::string(16u << 10, 'x')});
  const SingleShares shares;
  IgnoringListener listener;
  BackendPools pools(threads.Context(), clock, shares, listener,
                     ConnectionChecks::kSilent, "");
  BackendHealthHttpClient client(clock, pools);
  std::promise<coordination::HealthResult> promise;
  client.Read(state::ServerId("s"), server.Address(),
              [&promise](coordination::HealthResult result) {
                promise.set_value(std::move(result));
              });
  std::future<coordination::HealthResult> future = promise.get_future();
  REQUIRE(future.wait_for(kTestTimeout) == std::future_status::ready);
  CHECK_FALSE(state::IsOk(future.get()));
  CHECK(server.BytesSent() < kMaxSentBytes);
  threads.Stop();
}

TEST_CASE("A response after a few interim heads is delivered") {
  EndlessFixture fixture(
      {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"
       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
       ""});
  const HttpCallResult result =
      EndlessFixture::Await(fixture.Start(Milliseconds(10'000)));
  REQUIRE(state::IsOk(result));
  CHECK(state::ValueOf(result).status == 200);
  CHECK(state::ValueOf(result).body == "ok");
}

TEST_CASE("A call that may no longer be written sends nothing") {
  EndlessFixture fixture({"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""});
  HttpCall call(AcceptAnyResponse);
  call.request = {"GET", "/call", ""};
  call.deadline = fixture.clock.Now() + Milliseconds(10'000);
  call.send_before = call.deadline;
  call.may_write = [] { return false; };
  std::promise<HttpCallResult> promise;
  fixture.pool.Call(std::move(call), [&promise](HttpCallResult result) {
    promise.set_value(std::move(result));
  });
  const HttpCallResult result = EndlessFixture::Await(promise.get_future());
  REQUIRE_FALSE(state::IsOk(result));
  CHECK(state::ErrorOf(result) == TransportError::kWithdrawn);
  CHECK(fixture.server.BytesSent() == 0);
}

}  // namespace
}  // namespace banyanknot::transport
