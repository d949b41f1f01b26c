#ifndef BANYANKNOT_TRANSPORT_HTTP_SERVER_H_
#define BANYANKNOT_TRANSPORT_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "banyanknot/coordination/memory/memory_account.h"
#include "banyanknot/protocol/http_message.h"
#include "banyanknot/state/endpoint.h"
#include "banyanknot/state/result.h"
#include "banyanknot/state/routing/caller_connection.h"
#include "banyanknot/transport/transport_error.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace banyanknot::transport {

/// \brief One request and the means to respond to it.
///
/// Thread-safe. Destroying it without a call of Respond() closes the
/// connection.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  virtual const protocol::HttpRequest& Request() const = 0;
  virtual state::CallerConnection Connection() const = 0;
  /// \brief Sends the response; calls after the first have no effect.
  virtual void Respond(protocol::HttpResponse response) = 0;
  /// \brief Sets a handler that is called once if the caller closes the
  /// connection before the response; on any thread.
  virtual void OnClosed(std::function<void()> handler) = 0;
};

/// \brief Handles the requests of an HttpServer; called on any of its threads.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  virtual void Handle(std::shared_ptr<HttpExchange> exchange) = 0;
};

/// \brief Limits and timeouts of an HttpServer.
struct HttpServerLimits {
  std::size_t max_body_bytes = 1u << 20;
  std::size_t max_header_bytes = 16u << 10;
  /// Connections beyond this are closed at once.
  std::size_t max_connections = 4096;
  /// Closes the connection that has waited longest for its caller for a new one
  /// beyond the limit, if there is such a connection.
  bool displaces_waiting = false;
  /// Applies between requests.
  state::Duration idle_timeout = state::Milliseconds(300'000);
  /// Applies from the first byte of a request to its last.
  state::Duration read_timeout = state::Milliseconds(10'000);
  state::Duration write_timeout = state::Milliseconds(10'000);
  /// Time for which input is discarded after an error response.
  state::Duration linger = state::Milliseconds(1'000);
  /// Simulates the cost of a new connection.
  state::Duration accept_delay{0};
};

/// \brief Serves HTTP/1.1 with keep-alive, one request at a time on each
/// connection.
///
/// Requests that exceed a limit, arrive too slowly or are not valid HTTP get a
/// 4xx response, after which their connection is closed.
class HttpServer {
 public:
  /// \param memory limits what all connections hold; null for no limit
  HttpServer(boost::asio::io_context& context, HttpHandler& handler,
             HttpServerLimits limits,
             std::shared_ptr<coordination::MemoryAccount> memory = nullptr);
  ~HttpServer();

  /// \brief Starts listening; port 0 selects any free port.
  /// \returns the port; kResolve or kListen on failure
  state::Result<std::uint16_t, TransportError> Listen(
      const state::Endpoint& endpoint);

  /// \brief Sets the limits. Open connections apply them as well: to requests
  /// whose head has not been read, and to the time that they are idle.
  void SetLimits(const HttpServerLimits& limits);

  /// \brief Closes each connection after its next response; new connections are
  /// still accepted.
  void DisableKeepAlive();

  /// \brief Stops accepting and closes idle connections; a connection on which
  /// a request has begun to arrive closes after the response.
  void Shutdown();

  /// \brief Closes all connections immediately, without pending responses.
  void Abort();

  std::size_t Connections() const;

  /// \brief Returns how many connections were closed because of the limit.
  std::uint64_t RefusedConnections() const;
  /// \brief Returns how many connections that waited for their caller were
  /// closed to admit new ones.
  std::uint64_t DisplacedConnections() const;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_HTTP_SERVER_H_
