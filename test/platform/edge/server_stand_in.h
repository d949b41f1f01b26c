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

/// \brief What a server does with its requests.
enum class ServerMode {
  kServing,
  kShedding,     ///< refuses, and says so
  kLosingReply,  ///< runs the request, then closes the connection
  kFailing,      ///< runs the request and answers with a failure
};

/// \brief A backend server that speaks the platform's protocol.
///
/// Runs a request only if it is meant for this server; remembers which it ran.
/// Thread-safe.
class ServerStandIn : public transport::HttpHandler {
 public:
  /// \param id under which it registers
  /// \param body of its replies, after the id of the request
  ServerStandIn(std::string id, std::string body);
  ~ServerStandIn() override;

  const std::string& Id() const { return this->id; }
  std::uint16_t Port() const { return this->port; }
  void SetMode(ServerMode mode);
  void SetServiceTime(state::Duration time);

  /// \brief How often it ran the request of this id.
  std::size_t RunsOf(const std::string& request_id) const;
  std::size_t Runs() const;
  /// \brief The ids of the requests that it ran, and how often.
  std::map<std::string, std::size_t> AllRuns() const;
  /// \brief Requests whose connection closed before they were answered.
  std::size_t GivenUp() const;
  /// \brief The body of the last request that it ran.
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
  std::map<std::string, std::size_t> runs;  // by id of the request
  std::size_t given_up = 0;
  std::string last_body;
  transport::SteadyClock clock;
  transport::IoThreads threads{1};
  transport::AsioTimerService timers;
  transport::HttpServer server;
  std::uint16_t port = 0;
};

}  // namespace banyanknot::platform::edge_testing

#endif  // BANYANKNOT_TEST_PLATFORM_EDGE_SERVER_STAND_IN_H_
