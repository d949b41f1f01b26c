#ifndef BANYANKNOT_COORDINATION_WALL_CLOCK_H_
#define BANYANKNOT_COORDINATION_WALL_CLOCK_H_

#include <cstdint>

namespace banyanknot::coordination {

/// \brief Wall clock for log timestamps only; no decision may depend on it.
class WallClock {
 public:
  virtual ~WallClock() = default;

  /// \brief Returns the milliseconds since the Unix epoch.
  virtual std::int64_t UnixMilliseconds() const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_WALL_CLOCK_H_
