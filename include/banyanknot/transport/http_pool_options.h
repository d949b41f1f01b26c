#ifndef BANYANKNOT_TRANSPORT_HTTP_POOL_OPTIONS_H_
#define BANYANKNOT_TRANSPORT_HTTP_POOL_OPTIONS_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "banyanknot/state/util/time.h"
#include "banyanknot/transport/receive_budget.h"

namespace banyanknot::transport {

/// \brief Limits on the connections of a pool.
struct ConnectionLimits {
  std::size_t max_open = 1;  ///< open at once; silent ones not counted
  std::size_t max_idle = 1;  ///< more open: spare_lifetime applies
};

/// \brief Limits, timeouts and connection checks of an HttpConnectionPool.
struct HttpPoolOptions {
  ConnectionLimits limits;
  std::size_t max_queued_calls = 1024;  ///< calls queued for a connection
  /// Target of the GET request that checks whether a connection still works;
  /// empty for no checks.
  std::string check_target;
  /// A connection whose last reply is older is checked before its next call.
  state::Duration check_after_inactivity = state::Milliseconds(1'000);
  /// A check without a reply for this long closes its connection.
  state::Duration check_timeout = state::Milliseconds(250);
  /// A call without a reply for this long, while the server answers others or
  /// no other connection is open, marks its connection silent; a new one may
  /// then be opened in its place.
  state::Duration silence_timeout = state::Milliseconds(400);
  /// An idle connection is closed after this time.
  state::Duration idle_lifetime = state::Milliseconds(30'000);
  /// Replaces idle_lifetime while more than max_idle connections are open.
  state::Duration spare_lifetime = state::Milliseconds(500);
  /// Whether a close by the server is detected while a connection is idle.
  /// Otherwise it is detected at the next use.
  bool watches_idle = true;
  /// Local IP address to connect from; empty to let the system choose.
  std::string connect_from;
  /// Limits what all pools that share it hold for unfinished responses; null
  /// for no limit.
  std::shared_ptr<ReceiveBudget> receive_budget;
  /// Size of each connection's kernel receive buffer; 0 for the system's
  /// default. Bounds what a server can send unasked.
  int receive_buffer_bytes = 0;
  /// Called for each response that no call accepts; on any thread, with no lock
  /// held. May be empty.
  std::function<void()> on_misplaced_response;
  /// Called with the fault of each response that can't be a final one; as
  /// above.
  std::function<void(const std::string& fault)> on_malformed_response;
  /// Called when the server closes an idle connection, with the time since its
  /// last reply; on any thread, with no lock held. May be empty. Requires
  /// watches_idle.
  std::function<void(state::Duration idle_for)> on_closed_by_server;

  /// \brief Returns options without connection checks or silence detection.
  static HttpPoolOptions Unchecked(std::size_t max_connections) {
    // Longer than any call, including long polls of the catalogue.
    constexpr state::Duration kSilenceDetectionOff =
        state::Milliseconds(3'600'000);
    HttpPoolOptions options;
    options.limits = {max_connections, max_connections};
    options.silence_timeout = kSilenceDetectionOff;
    return options;
  }
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_HTTP_POOL_OPTIONS_H_
