#ifndef BANYANKNOT_TRANSPORT_HTTP_CONNECTION_POOL_H_
#define BANYANKNOT_TRANSPORT_HTTP_CONNECTION_POOL_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

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

/// \brief Tells whether a response belongs to a call.
using ResponseFilter = std::function<bool(const protocol::HttpResponse&)>;

/// \brief Accepts every response: for servers whose responses don't identify
/// their request and that are trusted to send one for each.
bool AcceptAnyResponse(const protocol::HttpResponse& response);

/// \brief One request with its deadlines.
struct HttpCall {
  explicit HttpCall(ResponseFilter is_answer)
      : is_answer(std::move(is_answer)) {}

  protocol::HttpRequest request;
  state::TimePoint send_before;  ///< not written after this time
  state::TimePoint deadline;     ///< the handler is called by then
  bool is_idempotent =
      true;  ///< false: sent only on a connection with a recent reply
  std::size_t max_response_bytes = 64u << 20;  ///< of the body
  /// A response that it rejects is discarded and never reaches the handler,
  /// which gets the next one on the connection that it accepts. The connection
  /// is then closed. Unless it accepts even a response without fields, one in
  /// whose body the head of another answer stands was broken off: kLost.
  ResponseFilter is_answer;
  /// Asked immediately before the first byte is written; on false the call
  /// fails with kWithdrawn. May be empty.
  std::function<bool()> may_write;
};

using HttpCallResult = state::Result<protocol::HttpResponse, TransportError>;
using HttpCallHandler = std::function<void(HttpCallResult)>;

namespace internal {

class PoolCore;
class PendingCall;

}  // namespace internal

/// \brief Identifies a call of a pool, for Cancel().
using HttpCallHandle = std::shared_ptr<internal::PendingCall>;

/// \brief Keep-alive connections to one endpoint.
///
/// Thread-safe. Each connection carries one call at a time; a call is never
/// sent twice. Calls beyond the connection limit are queued until their
/// `send_before`. A connection without a recent reply is checked before the
/// next call. A connection whose call stays unanswered while others are
/// answered is replaced by a new one, so that a silent connection costs at most
/// one call.
///
/// Errors: with kResolve, kConnect, kLimit, kExpired and kWithdrawn no byte was
/// written; with kLost, kMisplaced, kTooLarge and kTimeout some may have been.
class HttpConnectionPool {
 public:
  /// \pre options.limits.most > 0
  HttpConnectionPool(boost::asio::io_context& context,
                     const coordination::Clock& clock, state::Endpoint endpoint,
                     HttpPoolOptions options);
  /// \brief Creates a pool without connection checks.
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

  /// \brief Cancels a call: it is not sent, or its connection is closed. Its
  /// handler gets kExpired or kLost.
  void Cancel(const HttpCallHandle& handle);

  /// \brief Sets the limits; excess connections close when idle.
  /// \pre limits.most > 0
  void SetLimits(ConnectionLimits limits);

  /// \brief Returns the number of open connections, including silent ones.
  std::size_t OpenConnections() const;

  /// \brief Closes idle connections now and the others after their call.
  void Shutdown();

 private:
  const std::shared_ptr<internal::PoolCore> core;
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_HTTP_CONNECTION_POOL_H_
