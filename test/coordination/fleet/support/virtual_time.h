#ifndef BANYANKNOT_TEST_COORDINATION_FLEET_SUPPORT_VIRTUAL_TIME_H_
#define BANYANKNOT_TEST_COORDINATION_FLEET_SUPPORT_VIRTUAL_TIME_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/timer_service.h"

namespace banyanknot::coordination::fleet_testing {

/// \brief A clock and timer service that a test advances.
///
/// Not thread-safe. Functions due at the same moment run in the order in which
/// they were added.
class VirtualTime : public Clock, public TimerService {
 public:
  state::TimePoint Now() const override { return this->now; }

  void RunAt(state::TimePoint when, std::function<void()> function) override {
    this->due.emplace(when < this->now ? this->now : when, std::move(function));
  }

  /// \brief Advances the clock by `duration` and runs the functions due by
  /// then.
  void Advance(state::Duration duration) {
    const state::TimePoint end = this->now + duration;
    while (!this->due.empty() && this->due.begin()->first <= end) {
      this->now = this->due.begin()->first;
      const std::function<void()> function =
          std::move(this->due.begin()->second);
      this->due.erase(this->due.begin());
      function();
    }
    this->now = end;
  }

  /// \brief Advances the clock without running functions, as in a paused
  /// process.
  void Skip(state::Duration duration) { this->now += duration; }

 private:
  state::TimePoint now{state::Milliseconds(1'000'000)};
  std::multimap<state::TimePoint, std::function<void()>> due;
};

}  // namespace banyanknot::coordination::fleet_testing

#endif  // BANYANKNOT_TEST_COORDINATION_FLEET_SUPPORT_VIRTUAL_TIME_H_
