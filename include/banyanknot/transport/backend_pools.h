#ifndef BANYANKNOT_TRANSPORT_BACKEND_POOLS_H_
#define BANYANKNOT_TRANSPORT_BACKEND_POOLS_H_

#include <memory>
#include <string>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/servers/connection_shares.h"
#include "banyanknot/coordination/servers/server_connection_listener.h"
#include "banyanknot/state/sharded_table.h"
#include "banyanknot/transport/http_connection_pool.h"

namespace banyanknot::transport {

/// \brief Whether silent connections to backend servers are detected.
enum class ConnectionChecks {
  kNone,    ///< for the baseline
  kSilent,  ///< silent connections are detected and replaced
};

/// \brief Connection pools of one backend server.
struct ServerPools {
  std::shared_ptr<HttpConnectionPool> requests;
  /// At most one connection, for cancellations and health checks, so that they
  /// never queue behind a sub-request.
  std::shared_ptr<HttpConnectionPool> control;
};

/// \brief Connection pools of all backend servers, limited to this host's
/// shares.
///
/// Thread-safe. Pools are keyed by server and endpoint: a server that moves to
/// another endpoint, or an endpoint reused by another server, gets new pools.
class BackendPools {
 public:
  /// \param connect_from as in HttpPoolOptions
  BackendPools(boost::asio::io_context& context,
               const coordination::Clock& clock,
               const coordination::ConnectionShares& shares,
               coordination::ServerConnectionListener& listener,
               ConnectionChecks checks, std::string connect_from);

  /// \brief Returns the pools of `server` at `endpoint`; creates them if
  /// needed.
  ServerPools Of(const state::ServerId& server,
                 const state::Endpoint& endpoint);

  /// \brief Applies the current shares and closes the pools of servers that are
  /// no longer listed.
  void ApplyShares();

  /// \brief Returns the number of open connections to `server` for
  /// sub-requests.
  std::size_t OpenConnections(const state::ServerId& server,
                              const state::Endpoint& endpoint);

 private:
  struct Entry {
    state::ServerId server;
    state::Endpoint endpoint;
    ServerPools pools;
  };

  ServerPools Open(const state::ServerId& server,
                   const state::Endpoint& endpoint) const;

  boost::asio::io_context& context;
  const coordination::Clock& clock;
  const coordination::ConnectionShares& shares;
  coordination::ServerConnectionListener& listener;
  const ConnectionChecks checks;
  const std::string connect_from;
  const std::shared_ptr<ReceiveBudget> receive_budget;
  state::ShardedTable<std::string, Entry> entries;
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_BACKEND_POOLS_H_
