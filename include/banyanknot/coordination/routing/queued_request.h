#ifndef BANYANKNOT_COORDINATION_ROUTING_QUEUED_REQUEST_H_
#define BANYANKNOT_COORDINATION_ROUTING_QUEUED_REQUEST_H_

#include <cstdint>

#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief A request that is queued for capacity at a service.
struct QueuedRequest {
  std::uint64_t run = 0;
  unsigned priority = 0;      ///< 0 is the most urgent
  state::TimePoint deadline;  ///< earliest first within a priority
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_QUEUED_REQUEST_H_
