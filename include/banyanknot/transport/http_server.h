#ifndef BANYANKNOT_TRANSPORT_HTTP_SERVER_H_
#define BANYANKNOT_TRANSPORT_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "banyanknot/protocol/http_message.h"
#include "banyanknot/state/endpoint.h"
#include "banyanknot/state/result.h"
#include "banyanknot/transport/transport_error.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace banyanknot::transport {

/// \brief One request that waits for its response.
///
/// Thread-safe. Dropping it without Respond() closes the connection.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;
  virtual const protocol::HttpRequest& Request() const = 0;
  /// \brief Sends the response; calls after the first have no effect.
  virtual void Respond(protocol::HttpResponse response) = 0;
  /// \brief Sets what is called once if the other side closes before that.
  virtual void OnClosed(std::function<void()> handler) = 0;
};

/// \brief Takes the requests that an HttpServer reads.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  virtual void Handle(std::shared_ptr<HttpExchange> exchange) = 0;
};

/// \brief Bounds of an HttpServer.
struct HttpServerLimits {
  std::size_t max_body_bytes = 1u << 20;
  std::size_t max_header_bytes = 16u << 10;
  std::size_t max_connections = 4096;
  state::Duration idle_timeout = state::Milliseconds(300'000);  ///< no request
  state::Duration read_timeout = state::Milliseconds(10'000);   ///< a whole one
  state::Duration write_timeout = state::Milliseconds(10'000);
  state::Duration linger = state::Milliseconds(1'000);  ///< after an error
  state::Duration accept_delay{0};  ///< cost of a new connection
};

/// \brief Serves HTTP/1.1 with keep-alive, one request at a time a connection.
///
/// Requests that exceed a bound, take too long to arrive or are not HTTP get a
/// 4xx response and lose their connection.
class HttpServer {
 public:
  HttpServer(boost::asio::io_context& context, HttpHandler& handler,
             HttpServerLimits limits);
  ~HttpServer();

  /// \brief Starts to listen; port 0 takes any free port.
  /// \returns the port; kResolve or kListen on failure
  state::Result<std::uint16_t, TransportError> Listen(
      const state::Endpoint& endpoint);

  /// \brief Changes the bounds; a connection takes them up with its next
  /// request.
  void SetLimits(const HttpServerLimits& limits);

  /// \brief Goes on accepting, but closes each connection after its response.
  void DisableKeepAlive();

  /// \brief Accepts no more connections and closes those that are idle;
  /// others close after the response to the request that they have begun.
  void Shutdown();

  /// \brief Closes every connection at once.
  void Abort();

  std::size_t Connections() const;

  /// \brief Number of connections that were closed for the limit so far.
  std::uint64_t RefusedConnections() const;

  struct Impl;  ///< hidden from callers

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_HTTP_SERVER_H_
