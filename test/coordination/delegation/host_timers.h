#ifndef BANYANKNOT_TEST_COORDINATION_DELEGATION_HOST_TIMERS_H_
#define BANYANKNOT_TEST_COORDINATION_DELEGATION_HOST_TIMERS_H_

#include <functional>
#include <utility>
#include <vector>

#include "coordination/fleet/support/virtual_time.h"

namespace banyanknot::coordination::routing_testing {

/// \brief Runs the functions of one host, which can be paused or lost.
class HostTimers : public TimerService {
 public:
  explicit HostTimers(fleet_testing::VirtualTime& time) : time(time) {}

  void RunAt(state::TimePoint when, std::function<void()> function) override {
    this->time.RunAt(when, [this, function = std::move(function)] {
      this->Deliver(function);
    });
  }
  /// \brief Runs `function` now, once the pause is over, or never.
  void Deliver(const std::function<void()>& function) {
    if (this->is_lost) return;
    if (this->is_paused) {
      this->held.push_back(function);
    } else {
      function();
    }
  }

  bool IsRunning() const { return !this->is_lost && !this->is_paused; }
  bool IsLost() const { return this->is_lost; }
  void Lose() { this->is_lost = true; }
  void Pause() { this->is_paused = true; }
  void Resume() {
    this->is_paused = false;
    for (const std::function<void()>& function :
         std::exchange(this->held, {})) {
      this->Deliver(function);
    }
  }

 private:
  fleet_testing::VirtualTime& time;
  bool is_lost = false;
  bool is_paused = false;
  std::vector<std::function<void()>> held;
};

}  // namespace banyanknot::coordination::routing_testing

#endif  // BANYANKNOT_TEST_COORDINATION_DELEGATION_HOST_TIMERS_H_
