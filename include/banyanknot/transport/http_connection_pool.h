#ifndef BANYANKNOT_TRANSPORT_HTTP_CONNECTION_POOL_H_
#define BANYANKNOT_TRANSPORT_HTTP_CONNECTION_POOL_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/protocol/http_message.h"
#include "banyanknot/state/endpoint.h"
#include "banyanknot/state/result.h"
#include "banyanknot/transport/http_pool_options.h"
#include "banyanknot/transport/transport_error.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace banyanknot::transport {

/// \brief One request to send, and its times.
struct HttpCall {
  protocol::HttpRequest request;
  state::TimePoint send_before;  ///< not written any more after this
  state::TimePoint deadline;     ///< the handler is called by then
  bool is_idempotent =
      true;  ///< false: only on a connection that just answered
};

using HttpCallResult = state::Result<protocol::HttpResponse, TransportError>;
using HttpCallHandler = std::function<void(HttpCallResult)>;

namespace internal {

class PoolCore;
class PendingCall;

}  // namespace internal

/// \brief Names a call that was handed to a pool.
using HttpCallHandle = std::shared_ptr<internal::PendingCall>;

/// \brief Keep-alive connections to one endpoint.
///
/// Thread-safe. Carries one call at a time a connection and never repeats one.
/// Calls beyond the connection limit wait until their time is up. A connection
/// that was quiet for long is checked before it carries a call, and a call that
/// stays unanswered while others are answered gives its place to a new
/// connection, so that a silent connection costs one call at most.
///
/// Errors: kConnect, kLimit and kExpired say that no byte was written;
/// kLost and kTimeout say that some may have been.
class HttpConnectionPool {
 public:
  /// \pre options.limits.most > 0
  HttpConnectionPool(boost::asio::io_context& context,
                     const coordination::Clock& clock, state::Endpoint endpoint,
                     HttpPoolOptions options);
  /// \brief A pool without checks of its connections.
  /// \pre max_connections > 0
  HttpConnectionPool(boost::asio::io_context& context,
                     const coordination::Clock& clock, state::Endpoint endpoint,
                     std::size_t max_connections);
  ~HttpConnectionPool();

  HttpConnectionPool(const HttpConnectionPool&) = delete;
  HttpConnectionPool& operator=(const HttpConnectionPool&) = delete;

  /// \param handler called exactly once, never inside Call()
  /// \returns a handle for Cancel()
  HttpCallHandle Call(HttpCall call, HttpCallHandler handler);

  /// \brief Gives a call up: it is not written any more or, if it was, its
  /// connection is closed. Its handler gets kExpired or kLost.
  void Cancel(const HttpCallHandle& handle);

  /// \brief Changes the limits; connections beyond them close when idle.
  /// \pre limits.most > 0
  void SetLimits(ConnectionLimits limits);

  /// \brief Number of connections that are open, silent ones included.
  std::size_t OpenConnections() const;

  /// \brief Closes idle connections; others close after their call.
  void Shutdown();

 private:
  const std::shared_ptr<internal::PoolCore> core;
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_HTTP_CONNECTION_POOL_H_
