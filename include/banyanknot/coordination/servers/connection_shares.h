#ifndef BANYANKNOT_COORDINATION_SERVERS_CONNECTION_SHARES_H_
#define BANYANKNOT_COORDINATION_SERVERS_CONNECTION_SHARES_H_

#include <cstddef>

#include "banyanknot/state/endpoint.h"
#include "banyanknot/state/identifier.h"

namespace banyanknot::coordination {

/// \brief This host's share of the connections that a server accepts.
struct ConnectionShare {
  std::size_t max_open = 1;  ///< 0 if not listed at the endpoint
  std::size_t max_idle = 1;  ///< kept open while idle
};

/// \brief Divides the connections of each server among the hosts.
///
/// Thread-safe.
class ConnectionShares {
 public:
  virtual ~ConnectionShares() = default;
  virtual ConnectionShare Of(const state::ServerId& server,
                             const state::Endpoint& endpoint) const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_CONNECTION_SHARES_H_
