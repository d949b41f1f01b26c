#ifndef BANYANKNOT_TEST_PLATFORM_EDGE_RAW_SERVER_STAND_IN_H_
#define BANYANKNOT_TEST_PLATFORM_EDGE_RAW_SERVER_STAND_IN_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "banyanknot/state/endpoint.h"
#include "banyanknot/state/util/time.h"
#include "banyanknot/transport/io_threads.h"

namespace banyanknot::platform::edge_testing {

/// \brief What happens to a connection after the bytes of a step.
enum class RawEnd {
  kGoOn,   ///< the next step, or the next request after the last one
  kClose,  ///< closes it
  kReset,  ///< resets it
};

/// \brief Part of a server's reaction to a request.
struct RawStep {
  std::string bytes;
  state::Duration pause{0};  ///< before the bytes
  RawEnd end = RawEnd::kGoOn;
};

/// \brief One request as a RawServerStandIn received it.
struct RawRequest {
  std::string id;
  std::string target;
  std::string host;
  std::size_t connection = 0;  ///< counts from 0
  std::size_t number = 0;      ///< on its connection, from 0
};

/// \brief A backend server that writes arbitrary bytes in response.
///
/// Thread-safe; the script runs on the server's own thread.
class RawServerStandIn {
 public:
  using Script = std::function<std::vector<RawStep>(const RawRequest&)>;

  RawServerStandIn(std::string id, Script script);
  ~RawServerStandIn();

  const std::string& Id() const { return this->id; }
  std::uint16_t Port() const;
  /// \brief Returns how often it received the request `request_id`.
  std::size_t ReceivedOf(const std::string& request_id) const;

  /// \brief Returns the whole success of server `id` to a request.
  static std::string Success(const std::string& id, const RawRequest& request);
  /// \brief Returns the refusal, marked as not run, of a request.
  static std::string Refusal(const RawRequest& request);
  /// \brief Returns the response of server `id` to a health check.
  static std::string Health(const std::string& id);
  static bool IsHealthCheck(const RawRequest& request);
  /// \brief Returns the script of a sound server that takes its time for
  /// requests and health checks.
  static Script Slow(const std::string& id, state::Duration service_time);

 private:
  struct Shared;
  class Connection;

  const std::string id;
  transport::IoThreads threads{1};
  std::shared_ptr<Shared> shared;
};

}  // namespace banyanknot::platform::edge_testing

#endif  // BANYANKNOT_TEST_PLATFORM_EDGE_RAW_SERVER_STAND_IN_H_
