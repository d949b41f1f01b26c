#ifndef BANYANKNOT_STATE_UTIL_TIME_H_
#define BANYANKNOT_STATE_UTIL_TIME_H_

#include <chrono>
#include <cstdint>

namespace banyanknot::state {

/// \brief A duration with nanosecond resolution.
using Duration = std::chrono::nanoseconds;

/// \brief A point in time on the monotonic clock of this process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// \brief Converts whole milliseconds to a Duration.
constexpr Duration Milliseconds(std::int64_t count) {
  return std::chrono::milliseconds(count);
}

/// \brief Converts a Duration to milliseconds, rounding towards zero.
constexpr std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/// \brief Converts a Duration to milliseconds with a fraction.
constexpr double ToFractionalMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// \brief Converts milliseconds with a fraction to a Duration.
constexpr Duration FromFractionalMilliseconds(double milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_UTIL_TIME_H_
