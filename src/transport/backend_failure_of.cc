#include "transport/backend_failure_of.h"

namespace banyanknot::transport::internal {

coordination::BackendFailure BackendFailureOf(TransportError error) {
  switch (error) {
    case TransportError::kLimit:
      return coordination::BackendFailure::kConnectionLimit;
    case TransportError::kExpired:
      return coordination::BackendFailure::kExpired;
    case TransportError::kTimeout:
      return coordination::BackendFailure::kTimeout;
    case TransportError::kResolve:
    case TransportError::kListen:
    case TransportError::kConnect:
    case TransportError::kClosed:
      return coordination::BackendFailure::kNotSent;
    default:
      // After any other error, some bytes may have reached the server.
      return coordination::BackendFailure::kLost;
  }
}

}  // namespace banyanknot::transport::internal
