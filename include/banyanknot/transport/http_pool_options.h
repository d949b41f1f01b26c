#ifndef BANYANKNOT_TRANSPORT_HTTP_POOL_OPTIONS_H_
#define BANYANKNOT_TRANSPORT_HTTP_POOL_OPTIONS_H_

#include <cstddef>
#include <functional>
#include <string>

#include "banyanknot/state/util/time.h"

namespace banyanknot::transport {

/// \brief How many connections a pool may hold.
struct ConnectionLimits {
  std::size_t max_open = 1;  ///< open at once; silent ones apart
  std::size_t max_idle = 1;  ///< beyond these an idle one closes soon
};

/// \brief Bounds of an HttpConnectionPool and how it checks connections.
struct HttpPoolOptions {
  ConnectionLimits limits;
  std::size_t max_queued_calls = 1024;  ///< calls that wait for a connection
  /// Path of a GET request that shows whether a connection still carries
  /// anything; empty for no checks.
  std::string check_target;
  /// A connection without a reply for longer is checked before it is used.
  state::Duration check_after_inactivity = state::Milliseconds(1'000);
  /// A check unanswered for so long closes its connection.
  state::Duration check_timeout = state::Milliseconds(250);
  /// A call unanswered for so long, while the server answers others, frees its
  /// place for a new connection.
  state::Duration silence_timeout = state::Milliseconds(400);
  /// An idle connection is closed after so long.
  state::Duration idle_lifetime = state::Milliseconds(30'000);
  /// An idle connection beyond the lasting ones is closed after so long.
  state::Duration spare_lifetime = state::Milliseconds(500);
  /// Whether an idle connection is watched for a close by the server. Without
  /// it a close is found out when the connection is next used.
  bool watches_idle = true;
  /// IP number of this host that connections are made from; empty to leave it
  /// to the system.
  std::string connect_from;
  /// Told when the other side closes an idle connection, with the time since
  /// its last reply; called on any thread with no lock held. May be empty.
  std::function<void(state::Duration idle_for)> on_closed_by_server;

  /// \brief Options of a pool that takes no call for a sign of silence.
  static HttpPoolOptions Unchecked(std::size_t max_connections) {
    // Longer than any call, a watch that waits among them.
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
