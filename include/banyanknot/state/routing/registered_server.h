#ifndef BANYANKNOT_STATE_ROUTING_REGISTERED_SERVER_H_
#define BANYANKNOT_STATE_ROUTING_REGISTERED_SERVER_H_

#include <cstddef>
#include <cstdint>

#include "banyanknot/state/endpoint.h"
#include "banyanknot/state/identifier.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::state {

/// \brief A backend server as it registered itself.
struct RegisteredServer {
  InstanceId id;
  ServiceId service;
  Endpoint endpoint;
  FailureDomainId domain;
  std::size_t slots = 1;    ///< max concurrent requests
  bool is_leaving = false;  ///< receives no new work
  Duration cold_for{0};     ///< remaining warm-up when it was reported
  std::uint64_t started_unix_ms = 0;  ///< distinguishes restarts under one id
};

/// \brief Returns true if two records of one id describe the same start of the
/// server.
inline bool IsSameIncarnation(const RegisteredServer& left,
                              const RegisteredServer& right) {
  return left.endpoint == right.endpoint && left.service == right.service &&
         left.started_unix_ms == right.started_unix_ms;
}

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_ROUTING_REGISTERED_SERVER_H_
