#ifndef BANYANKNOT_COORDINATION_ROUTING_RELAY_CLIENT_H_
#define BANYANKNOT_COORDINATION_ROUTING_RELAY_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "banyanknot/coordination/routing/relay_failure.h"
#include "banyanknot/state/result.h"
#include "banyanknot/state/routing/registered_server.h"
#include "banyanknot/state/routing/relay_request.h"

namespace banyanknot::coordination {

/// \brief How busy a server says that it is.
struct ReportedLoad {
  std::size_t running = 0;
  std::size_t waiting = 0;
  std::size_t slots = 1;
};

/// \brief One server's reply to a request.
struct RelayReply {
  unsigned status = 0;
  std::vector<state::HeaderField> headers;  ///< those to pass back
  std::string body;
  std::string signature;  ///< the server's proof of its answer; may be empty
  bool is_proven_not_run = false;
  bool is_other_server = false;   ///< another server has the address now
  bool is_other_request = false;  ///< answers another request
  bool is_encoded = false;        ///< the body is not as the server has it
  std::optional<ReportedLoad> load;

  /// \brief Tells whether it is a success that callers may be given.
  bool IsSuccess() const {
    constexpr unsigned kFirstSuccess = 200;
    constexpr unsigned kFirstOther = 300;
    return this->status >= kFirstSuccess && this->status < kFirstOther &&
           !this->signature.empty() && !this->is_encoded &&
           !this->is_proven_not_run && !this->is_other_request;
  }
};

using RelayResult = state::Result<RelayReply, RelayFailure>;
using RelayHandler = std::function<void(RelayResult)>;

/// \brief One request on its way to one server.
struct RelaySend {
  state::InstanceId server;
  state::Endpoint endpoint;
  std::shared_ptr<const state::RelayRequest> request;
  state::TimePoint deadline;  ///< the server is told what is left until then
  bool is_repeatable = false;
};

/// \brief A request that was handed over; may be given up.
class RelayCall {
 public:
  virtual ~RelayCall() = default;
  /// \brief Ends the call; a server at work on it sees its connection close.
  virtual void Cancel() = 0;
};

/// \brief What a server says of itself when asked.
struct ServerHealth {
  state::InstanceId server;
  bool is_healthy = false;
  state::Duration cold_for{0};
};

using ServerHealthHandler = std::function<void(std::optional<ServerHealth>)>;

/// \brief Carries requests to backend servers.
///
/// Thread-safe. Handlers run on any thread, exactly once, never inside Send().
class RelayClient {
 public:
  virtual ~RelayClient() = default;
  virtual std::shared_ptr<RelayCall> Send(RelaySend send,
                                          RelayHandler handler) = 0;
  /// \brief Asks a server how it is; the handler gets nothing if no answer
  /// came in time.
  virtual void CheckHealth(const state::InstanceId& server,
                           const state::Endpoint& endpoint,
                           const std::string& path, state::Duration timeout,
                           ServerHealthHandler handler) = 0;
  /// \brief Closes the connections to a server that is gone.
  virtual void CloseConnections(const state::InstanceId& server,
                                const state::Endpoint& endpoint) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RELAY_CLIENT_H_
