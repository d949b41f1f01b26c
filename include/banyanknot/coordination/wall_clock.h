#ifndef BANYANKNOT_COORDINATION_WALL_CLOCK_H_
#define BANYANKNOT_COORDINATION_WALL_CLOCK_H_

#include <cstdint>

namespace banyanknot::coordination {

/// \brief Source of the time of day, for logs only: no decision rests on it.
class WallClock {
 public:
  virtual ~WallClock() = default;

  /// \brief Milliseconds since the start of 1970, in UTC.
  virtual std::int64_t UnixMilliseconds() const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_WALL_CLOCK_H_
