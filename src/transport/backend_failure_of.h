#ifndef BANYANKNOT_SRC_TRANSPORT_BACKEND_FAILURE_OF_H_
#define BANYANKNOT_SRC_TRANSPORT_BACKEND_FAILURE_OF_H_

#include "banyanknot/coordination/backend_failure.h"
#include "banyanknot/transport/transport_error.h"

namespace banyanknot::transport::internal {

/// \brief Maps a transport error of a call to a backend server.
coordination::BackendFailure BackendFailureOf(TransportError error);

}  // namespace banyanknot::transport::internal

#endif  // BANYANKNOT_SRC_TRANSPORT_BACKEND_FAILURE_OF_H_
