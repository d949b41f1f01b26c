#ifndef BANYANKNOT_SRC_TRANSPORT_PENDING_CALL_H_
#define BANYANKNOT_SRC_TRANSPORT_PENDING_CALL_H_

#include "banyanknot/transport/http_connection_pool.h"

namespace banyanknot::transport::internal {

/// \brief A call that waits for a connection or is on one.
struct PendingCall {
  HttpCall call;
  HttpCallHandler handler;
};

}  // namespace banyanknot::transport::internal

#endif  // BANYANKNOT_SRC_TRANSPORT_PENDING_CALL_H_
