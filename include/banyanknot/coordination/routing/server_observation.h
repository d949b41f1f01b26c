#ifndef BANYANKNOT_COORDINATION_ROUTING_SERVER_OBSERVATION_H_
#define BANYANKNOT_COORDINATION_ROUTING_SERVER_OBSERVATION_H_

#include <optional>

#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Requests of other hosts at a server, from its last report.
struct ObservedRequests {
  double count = 0;
  state::Duration age{0};  ///< since the report arrived
};

/// \brief What a host knows of a server that can take a request.
struct ServerObservation {
  state::Duration reply_time{0};  ///< typical
  state::Duration added_time{0};  ///< connection, distance and stalls
  double slots = 1;
  double own_requests = 0;  ///< this host's open ones
  std::optional<ObservedRequests> others;
  double failure_share = 0;  ///< of this host's recent requests
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_SERVER_OBSERVATION_H_
