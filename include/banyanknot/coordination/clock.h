#ifndef BANYANKNOT_COORDINATION_CLOCK_H_
#define BANYANKNOT_COORDINATION_CLOCK_H_

#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Source of the monotonic time; injected so that tests can drive it.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual state::TimePoint Now() const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_CLOCK_H_
