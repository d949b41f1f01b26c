#include <catch2/catch.hpp>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "banyanknot/transport/host_http_link.h"
#include "banyanknot/transport/io_threads.h"
#include "banyanknot/transport/steady_clock.h"
#include "platform/header_relay_codec.h"
#include "transport/raw_byte_server.h"

namespace banyanknot::platform {
namespace {

constexpr std::chrono::seconds kTimeout{20};
/// A few times the limit of a body, and what sockets hold.
constexpr std::size_t kMaxSentBytes = 16u << 20;

// Guards against one host's response to a small call taking the whole budget.
TEST_CASE("A response without end to adverts is cut off early") {
  transport::SteadyClock clock;
  transport::IoThreads threads{2};
  const HeaderRelayCodec codec;
  const transport::RawByteServer server(
      threads.Context(),
      {"HTTP/1.1 200 OK\r\n\r\n", std::string(16u << 10, 'x')});
  transport::HostHttpLink link(
      threads.Context(), clock, codec,
      std::make_shared<transport::ReceiveBudget>(256u << 20));
  std::promise<std::optional<std::vector<state::HostAdvert>>> promise;
  link.ExchangeAdverts(
      server.Address(), state::HostAdvert(),
      [&promise](const std::optional<std::vector<state::HostAdvert>>& adverts) {
        promise.set_value(adverts);
      });
  std::future<std::optional<std::vector<state::HostAdvert>>> future =
      promise.get_future();
  REQUIRE(future.wait_for(kTimeout) == std::future_status::ready);
  CHECK_FALSE(future.get());
  CHECK(server.BytesSent() < kMaxSentBytes);
  threads.Stop();
}

}  // namespace
}  // namespace banyanknot::platform
