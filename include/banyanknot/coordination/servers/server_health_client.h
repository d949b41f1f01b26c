#ifndef BANYANKNOT_COORDINATION_SERVERS_SERVER_HEALTH_CLIENT_H_
#define BANYANKNOT_COORDINATION_SERVERS_SERVER_HEALTH_CLIENT_H_

#include <functional>

#include "banyanknot/coordination/backend_failure.h"
#include "banyanknot/state/result.h"
#include "banyanknot/state/sub_request.h"

namespace banyanknot::coordination {

using HealthResult = state::Result<state::ServerReport, BackendFailure>;
using HealthHandler = std::function<void(HealthResult)>;

/// \brief Reads the health endpoint of backend servers.
///
/// Thread-safe. Reports may be stale or wrong.
class ServerHealthClient {
 public:
  virtual ~ServerHealthClient() = default;

  /// \param handler called exactly once, never inside Read()
  virtual void Read(const state::ServerId& server,
                    const state::Endpoint& endpoint, HealthHandler handler) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_SERVER_HEALTH_CLIENT_H_
