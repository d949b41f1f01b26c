#ifndef BANYANKNOT_COORDINATION_CLOCK_H_
#define BANYANKNOT_COORDINATION_CLOCK_H_

#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Monotonic clock; injected so that tests can control the time.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual state::TimePoint Now() const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_CLOCK_H_
