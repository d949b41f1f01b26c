#ifndef BANYANKNOT_SRC_TRANSPORT_POOLED_CALL_H_
#define BANYANKNOT_SRC_TRANSPORT_POOLED_CALL_H_

#include <memory>
#include <utility>

#include "banyanknot/coordination/routing/relay_client.h"
#include "banyanknot/transport/http_connection_pool.h"

namespace banyanknot::transport::internal {

/// \brief A call of a pool, which it keeps alive.
class PooledCall : public coordination::RelayCall {
 public:
  PooledCall(std::shared_ptr<HttpConnectionPool> pool, HttpCallHandle handle)
      : pool(std::move(pool)), handle(std::move(handle)) {}
  void Cancel() override { this->pool->Cancel(this->handle); }

 private:
  const std::shared_ptr<HttpConnectionPool> pool;
  const HttpCallHandle handle;
};

}  // namespace banyanknot::transport::internal

#endif  // BANYANKNOT_SRC_TRANSPORT_POOLED_CALL_H_
