#ifndef BANYANKNOT_COORDINATION_ROUTING_RELAY_CLIENT_H_
#define BANYANKNOT_COORDINATION_ROUTING_RELAY_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "banyanknot/coordination/routing/relay_failure.h"
#include "banyanknot/coordination/routing/server_notice.h"
#include "banyanknot/state/result.h"
#include "banyanknot/state/routing/registered_server.h"
#include "banyanknot/state/routing/relay_request.h"

namespace banyanknot::coordination {

/// \brief Load as reported by a server.
struct ReportedLoad {
  std::size_t running = 0;
  std::size_t waiting = 0;
  std::size_t slots = 1;
};

/// \brief One server's reply to a request. A response to another request never
/// becomes one: the client discards it.
struct RelayReply {
  unsigned status = 0;
  std::vector<state::HeaderField> headers;  ///< to pass to the caller
  std::string body;
  std::string signature;  ///< proves the server's answer; may be empty
  bool is_proven_not_run = false;
  bool is_other_server = false;  ///< sent by another server at the address
  bool is_encoded = false;       ///< the body has a content encoding
  std::optional<ReportedLoad> load;
  ServerNotice notice;

  /// \brief Returns true for a signed success that may be passed to callers.
  bool IsSuccess() const {
    constexpr unsigned kFirstSuccess = 200;
    constexpr unsigned kFirstOther = 300;
    return this->status >= kFirstSuccess && this->status < kFirstOther &&
           !this->signature.empty() && !this->is_encoded &&
           !this->is_proven_not_run;
  }
};

using RelayResult = state::Result<RelayReply, RelayFailure>;
using RelayHandler = std::function<void(RelayResult)>;

/// \brief One attempt: a request to be sent to one server.
struct RelaySend {
  state::InstanceId server;
  state::Endpoint endpoint;
  std::shared_ptr<const state::RelayRequest> request;
  state::TimePoint deadline;  ///< sent to the server as time left
  bool is_idempotent = false;
  std::size_t max_reply_bytes = 0;  ///< a longer body is cut off as a failure
  /// Gets the notice of each reply before its handler runs; if it no longer
  /// accepts requests, an unwritten one fails with kWithdrawn.
  std::shared_ptr<ServerNoticeSink> notices;
};

/// \brief Handle of a request that was sent.
class RelayCall {
 public:
  virtual ~RelayCall() = default;
  /// \brief Cancels the request by closing its connection, which a server at
  /// work on it can detect.
  virtual void Cancel() = 0;
};

/// \brief A server's reply to a health check.
struct ServerHealth {
  state::InstanceId server;
  bool is_healthy = false;
  state::Duration cold_for{0};
  ServerNotice notice;
};

/// \brief A health check to be sent to one server.
struct HealthCheck {
  state::InstanceId server;
  state::Endpoint endpoint;
  std::string path;
  state::Duration timeout{0};
  std::shared_ptr<ServerNoticeSink> notices;  ///< as in RelaySend
};

using ServerHealthHandler = std::function<void(std::optional<ServerHealth>)>;

/// \brief Sends requests to backend servers.
///
/// Thread-safe. Handlers run on any thread, exactly once, never inside Send().
/// They get only what the server sent in response to their own request or
/// check.
class RelayClient {
 public:
  virtual ~RelayClient() = default;
  virtual std::shared_ptr<RelayCall> Send(RelaySend send,
                                          RelayHandler handler) = 0;
  /// \brief Sends a health check; the handler gets nothing if no reply comes
  /// within the timeout.
  virtual void CheckHealth(HealthCheck check, ServerHealthHandler handler) = 0;
  /// \brief Closes the connections to a removed server.
  virtual void CloseConnections(const state::InstanceId& server,
                                const state::Endpoint& endpoint) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RELAY_CLIENT_H_
