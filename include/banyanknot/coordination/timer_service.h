#ifndef BANYANKNOT_COORDINATION_TIMER_SERVICE_H_
#define BANYANKNOT_COORDINATION_TIMER_SERVICE_H_

#include <functional>

#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Runs functions at a later time.
///
/// Thread-safe. Functions run on any thread, never inside RunAt().
class TimerService {
 public:
  virtual ~TimerService() = default;

  /// \brief Runs `function` once `when` has come; at once if it is past.
  ///
  /// There is no cancellation: a function that finds nothing left to do
  /// returns.
  virtual void RunAt(state::TimePoint when, std::function<void()> function) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_TIMER_SERVICE_H_
