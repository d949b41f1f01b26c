#ifndef BANYANKNOT_STATE_ROUTING_CALLER_CONNECTION_H_
#define BANYANKNOT_STATE_ROUTING_CALLER_CONNECTION_H_

#include <optional>

#include "banyanknot/state/util/time.h"

namespace banyanknot::state {

/// \brief The connection on which a caller's request arrived.
struct CallerConnection {
  std::optional<Duration> round_trip;  ///< as measured by the system
  bool is_new = true;                  ///< this is its first request
};

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_ROUTING_CALLER_CONNECTION_H_
