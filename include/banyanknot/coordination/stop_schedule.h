#ifndef BANYANKNOT_COORDINATION_STOP_SCHEDULE_H_
#define BANYANKNOT_COORDINATION_STOP_SCHEDULE_H_

#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Times of a graceful shutdown that has begun.
struct StopSchedule {
  /// The load balancer sends no new callers from then on.
  state::TimePoint unlisted_at;
  /// Every request has its answer by then.
  state::TimePoint answered_by;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_STOP_SCHEDULE_H_
