#ifndef BANYANKNOT_TRANSPORT_BACKEND_HTTP_CLIENT_H_
#define BANYANKNOT_TRANSPORT_BACKEND_HTTP_CLIENT_H_

#include "banyanknot/coordination/backend_client.h"
#include "banyanknot/coordination/clock.h"
#include "banyanknot/transport/backend_pools.h"

namespace banyanknot::transport {

/// \brief Sends sub-requests and cancellations over HTTP with JSON.
///
/// Thread-safe.
class BackendHttpClient : public coordination::BackendClient {
 public:
  BackendHttpClient(const coordination::Clock& clock, BackendPools& pools)
      : clock(clock), pools(pools) {}

  void Send(const state::SubRequest& request,
            coordination::BackendHandler handler) override;
  void Cancel(const state::SubRequest& request) override;

 private:
  const coordination::Clock& clock;
  BackendPools& pools;
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_BACKEND_HTTP_CLIENT_H_
