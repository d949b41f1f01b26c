#ifndef BANYANKNOT_COORDINATION_TIMER_SERVICE_H_
#define BANYANKNOT_COORDINATION_TIMER_SERVICE_H_

#include <functional>

#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Schedules functions.
///
/// Thread-safe. Functions run on any thread, never inside RunAt().
class TimerService {
 public:
  virtual ~TimerService() = default;

  /// \brief Runs `function` at `when`; at once if that is past.
  ///
  /// Timers cannot be cancelled: a function must return if nothing is left
  /// to do.
  virtual void RunAt(state::TimePoint when, std::function<void()> function) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_TIMER_SERVICE_H_
