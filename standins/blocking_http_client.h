#ifndef BANYANKNOT_STANDINS_BLOCKING_HTTP_CLIENT_H_
#define BANYANKNOT_STANDINS_BLOCKING_HTTP_CLIENT_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "banyanknot/transport/http_connection_pool.h"
#include "banyanknot/transport/io_threads.h"
#include "banyanknot/transport/steady_clock.h"

namespace banyanknot::standins {

/// \brief Makes single HTTP calls and waits for each; for tests and tools.
///
/// Thread-safe. Each call has a connection of its own.
class BlockingHttpClient {
 public:
  explicit BlockingHttpClient(state::Duration timeout)
      : timeout(timeout), threads(1) {}

  transport::HttpCallResult Call(const state::Endpoint& endpoint,
                                 const std::string& method,
                                 const std::string& target,
                                 const std::string& body);

  /// \brief Calls and parses the body of a response with status 200.
  std::optional<nlohmann::json> CallForJson(const state::Endpoint& endpoint,
                                            const std::string& method,
                                            const std::string& target,
                                            const std::string& body);

 private:
  const state::Duration timeout;
  transport::SteadyClock clock;
  transport::IoThreads threads;
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_BLOCKING_HTTP_CLIENT_H_
