#include "banyanknot/transport/io_threads.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <mutex>
#include <stdexcept>
#include <string>
#include <vector>

namespace banyanknot::transport {
namespace {

TEST_CASE("An exception in a handler is reported and the threads go on") {
  std::mutex mutex;
  std::vector<std::string> reports;
  IoThreads threads(1, [&](const std::string& what) {
    const std::lock_guard<std::mutex> lock(mutex);
    reports.push_back(what);
  });
  for (const char* what : {"first", "second"}) {
    boost::asio::post(threads.Context(),
                      [what] { throw std::runtime_error(what); });
  }
  std::promise<void> ran;
  boost::asio::post(threads.Context(), [&ran] { ran.set_value(); });
  REQUIRE(ran.get_future().wait_for(std::chrono::seconds(20)) ==
          std::future_status::ready);
  const std::lock_guard<std::mutex> lock(mutex);
  CHECK(reports == std::vector<std::string>{"first", "second"});
  CHECK(threads.FailedHandlers() == 2);
}

}  // namespace
}  // namespace banyanknot::transport
