#ifndef BANYANKNOT_TEST_TRANSPORT_CALL_RAW_SERVER_H_
#define BANYANKNOT_TEST_TRANSPORT_CALL_RAW_SERVER_H_

#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <string>
#include <utility>

#include "banyanknot/transport/http_connection_pool.h"
#include "banyanknot/transport/io_threads.h"
#include "banyanknot/transport/steady_clock.h"
#include "transport/raw_byte_server.h"

namespace banyanknot::transport {

/// \brief Makes one call to a server that sends `first` and, 2 ms later,
/// `second` on each connection, then closes it.
inline HttpCallResult CallRawServer(const std::string& first,
                                    const std::string& second, HttpCall call,
                                    state::Duration deadline,
                                    HttpPoolOptions options) {
  constexpr std::chrono::seconds kTestTimeout{20};
  SteadyClock clock;
  IoThreads threads{2};
  const RawByteServer server(
      threads.Context(), {first, second, std::chrono::milliseconds(2), true});
  HttpConnectionPool pool(threads.Context(), clock, server.Address(),
                          std::move(options));
  call.request = {"GET", "/call", ""};
  call.deadline = clock.Now() + deadline;
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

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TEST_TRANSPORT_CALL_RAW_SERVER_H_
