#ifndef BANYANKNOT_TRANSPORT_HTTP_CONNECTION_POOL_H_
#define BANYANKNOT_TRANSPORT_HTTP_CONNECTION_POOL_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/protocol/http_message.h"
#include "banyanknot/state/endpoint.h"
#include "banyanknot/state/result.h"
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
};

using HttpCallResult = state::Result<protocol::HttpResponse, TransportError>;
using HttpCallHandler = std::function<void(HttpCallResult)>;

/// \brief Keep-alive connections to one endpoint.
///
/// Thread-safe. Carries one call at a time a connection and never repeats one.
/// Calls beyond the connection limit wait until their time is up.
/// Errors: kConnect, kLimit and kExpired say that no byte was written;
/// kLost and kTimeout say that some were.
class HttpConnectionPool {
 public:
  /// \param max_connections most connections open at once
  /// \pre max_connections > 0
  HttpConnectionPool(boost::asio::io_context& context,
                     const coordination::Clock& clock, state::Endpoint endpoint,
                     std::size_t max_connections);
  ~HttpConnectionPool();

  /// \param handler called exactly once, never inside Call()
  void Call(HttpCall call, HttpCallHandler handler);

  /// \brief Closes idle connections; others close after their call.
  void Shutdown();

  struct Impl;  ///< hidden from callers

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_HTTP_CONNECTION_POOL_H_
