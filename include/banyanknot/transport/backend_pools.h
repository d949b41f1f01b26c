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

/// \brief Whether connections to backend servers are checked for silence.
enum class ConnectionChecks {
  kNone,    ///< the baseline
  kSilent,  ///< connections that fell silent are found and replaced
};

/// \brief The connections to one backend server.
struct ServerPools {
  std::shared_ptr<HttpConnectionPool> requests;
  /// One connection at need for cancellations and health, so that they never
  /// wait behind a sub-request.
  std::shared_ptr<HttpConnectionPool> control;
};

/// \brief The connections to all backend servers, within this host's shares.
///
/// Thread-safe. A server that moves to another endpoint, or an endpoint that
/// passes to another server, gets connections of its own.
class BackendPools {
 public:
  /// \param connect_from as in HttpPoolOptions
  BackendPools(boost::asio::io_context& context,
               const coordination::Clock& clock,
               const coordination::ConnectionShares& shares,
               coordination::ServerConnectionListener& listener,
               ConnectionChecks checks, std::string connect_from);

  /// \brief The connections to `server` at `endpoint`.
  ServerPools Of(const state::ServerId& server,
                 const state::Endpoint& endpoint);

  /// \brief Applies the shares of now and closes what is listed no more.
  void ApplyShares();

  /// \brief Number of connections to `server` that are open for sub-requests.
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
  state::ShardedTable<std::string, Entry> entries;
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_BACKEND_POOLS_H_
