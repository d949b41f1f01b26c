#ifndef BANYANKNOT_TRANSPORT_BACKEND_HEALTH_HTTP_CLIENT_H_
#define BANYANKNOT_TRANSPORT_BACKEND_HEALTH_HTTP_CLIENT_H_

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/servers/server_health_client.h"
#include "banyanknot/transport/backend_pools.h"

namespace banyanknot::transport {

/// \brief Queries the health endpoint of backend servers over HTTP with JSON.
///
/// Thread-safe.
class BackendHealthHttpClient : public coordination::ServerHealthClient {
 public:
  BackendHealthHttpClient(const coordination::Clock& clock, BackendPools& pools)
      : clock(clock), pools(pools) {}

  void Read(const state::ServerId& server, const state::Endpoint& endpoint,
            coordination::HealthHandler handler) override;

 private:
  const coordination::Clock& clock;
  BackendPools& pools;
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_BACKEND_HEALTH_HTTP_CLIENT_H_
