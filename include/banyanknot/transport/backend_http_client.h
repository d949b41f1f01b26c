#ifndef BANYANKNOT_TRANSPORT_BACKEND_HTTP_CLIENT_H_
#define BANYANKNOT_TRANSPORT_BACKEND_HTTP_CLIENT_H_

#include <cstddef>
#include <memory>

#include "banyanknot/coordination/backend_client.h"
#include "banyanknot/coordination/clock.h"
#include "banyanknot/state/sharded_table.h"
#include "banyanknot/transport/http_connection_pool.h"

namespace banyanknot::transport {

/// \brief Talks to backend servers in HTTP/JSON, a connection pool a server.
class BackendHttpClient : public coordination::BackendClient {
 public:
  /// \param max_connections most connections to one server
  BackendHttpClient(boost::asio::io_context& context,
                    const coordination::Clock& clock,
                    std::size_t max_connections);

  void Send(const state::SubRequest& request,
            coordination::BackendHandler handler) override;
  void Cancel(const state::SubRequest& request) override;

 private:
  std::shared_ptr<HttpConnectionPool> PoolOf(const state::SubRequest& request);

  boost::asio::io_context& context;
  const coordination::Clock& clock;
  const std::size_t max_connections;
  state::ShardedTable<std::string, std::shared_ptr<HttpConnectionPool>> pools;
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_BACKEND_HTTP_CLIENT_H_
