#ifndef BANYANKNOT_TEST_PLATFORM_EDGE_SERVER_STAND_IN_H_
#define BANYANKNOT_TEST_PLATFORM_EDGE_SERVER_STAND_IN_H_

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "banyanknot/transport/asio_timer_service.h"
#include "banyanknot/transport/http_server.h"
#include "banyanknot/transport/io_threads.h"
#include "banyanknot/transport/steady_clock.h"

namespace banyanknot::platform::edge_testing {

/// \brief How a server handles its requests.
enum class ServerMode {
  kServing,
  kShedding,     ///< refuses requests and marks them as not run
  kLosingReply,  ///< runs the request, then closes the connection
  kFailing,      ///< runs the request and responds with status 500
};

/// \brief A backend server that speaks the platform's protocol.
///
/// Runs a request only if it names this server, and records the id.
/// Thread-safe.
class ServerStandIn : public transport::HttpHandler {
 public:
  /// \param id id under which it registers
  /// \param body body of its replies, after the request id
  ServerStandIn(std::string id, std::string body);
  ~ServerStandIn() override;

  const std::string& Id() const { return this->id; }
  std::uint16_t Port() const { return this->port; }
  void SetMode(ServerMode mode);
  void SetServiceTime(state::Duration time);

  /// \brief Returns how often it ran the request `request_id`.
  std::size_t RunsOf(const std::string& request_id) const;
  std::size_t Runs() const;
  /// \brief Returns the number of runs by request id.
  std::map<std::string, std::size_t> AllRuns() const;
  /// \brief Returns the number of requests whose connection closed before the
  /// reply.
  std::size_t AbandonedRequests() const;
  /// \brief Returns the number of runs by the workspace that they name.
  std::map<std::string, std::size_t> RunsByWorkspace() const;
  /// \brief Returns true if a request had a caller's key.
  bool HasSeenKey() const;
  /// \brief Returns the body of the last request that it ran.
  std::string LastBody() const;

  void Handle(std::shared_ptr<transport::HttpExchange> exchange) override;

 private:
  protocol::HttpResponse Answer(unsigned status,
                                const std::string& request_id) const;

  const std::string id;
  const std::string body;
  mutable std::mutex mutex;
  ServerMode mode = ServerMode::kServing;
  state::Duration service_time{0};
  std::map<std::string, std::size_t> runs;  // by request id
  std::size_t abandoned_requests = 0;
  std::map<std::string, std::size_t> runs_by_workspace;
  bool has_seen_key = false;
  std::string last_body;
  transport::SteadyClock clock;
  transport::IoThreads threads{1};
  transport::AsioTimerService timers;
  transport::HttpServer server;
  std::uint16_t port = 0;
};

}  // namespace banyanknot::platform::edge_testing

#endif  // BANYANKNOT_TEST_PLATFORM_EDGE_SERVER_STAND_IN_H_
