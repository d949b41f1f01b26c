#ifndef BANYANKNOT_SRC_TRANSPORT_PENDING_CALL_H_
#define BANYANKNOT_SRC_TRANSPORT_PENDING_CALL_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

#include "banyanknot/transport/http_connection_pool.h"

namespace banyanknot::transport::internal {

class ClientConnection;

/// \brief A call that is queued or assigned to a connection.
class PendingCall {
 public:
  PendingCall(HttpCall call, HttpCallHandler handler)
      : call(std::move(call)), handler(std::move(handler)) {}

  void SetConnection(const std::shared_ptr<ClientConnection>& connection) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->connection = connection;
  }
  std::shared_ptr<ClientConnection> Connection() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->connection.lock();
  }

  HttpCall call;
  HttpCallHandler handler;
  std::atomic<bool> is_cancelled{false};

 private:
  mutable std::mutex mutex;
  std::weak_ptr<ClientConnection> connection;
};

}  // namespace banyanknot::transport::internal

#endif  // BANYANKNOT_SRC_TRANSPORT_PENDING_CALL_H_
