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
  std::size_t slots = 1;    ///< requests that it works on at once
  bool is_leaving = false;  ///< gets no new work any more
  Duration cold_for{0};     ///< stays cold so long from when it said so
  std::uint64_t started_unix_ms = 0;  ///< tells restarts under one id apart
};

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_ROUTING_REGISTERED_SERVER_H_
