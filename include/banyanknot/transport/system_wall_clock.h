#ifndef BANYANKNOT_TRANSPORT_SYSTEM_WALL_CLOCK_H_
#define BANYANKNOT_TRANSPORT_SYSTEM_WALL_CLOCK_H_

#include <chrono>

#include "banyanknot/coordination/wall_clock.h"

namespace banyanknot::transport {

/// \brief The system's real-time clock.
class SystemWallClock : public coordination::WallClock {
 public:
  std::int64_t UnixMilliseconds() const override {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
  }
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_SYSTEM_WALL_CLOCK_H_
