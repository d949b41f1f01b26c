#ifndef BANYANKNOT_TRANSPORT_STEADY_CLOCK_H_
#define BANYANKNOT_TRANSPORT_STEADY_CLOCK_H_

#include "banyanknot/coordination/clock.h"

namespace banyanknot::transport {

/// \brief The system's monotonic clock.
class SteadyClock : public coordination::Clock {
 public:
  state::TimePoint Now() const override {
    return std::chrono::steady_clock::now();
  }
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_STEADY_CLOCK_H_
