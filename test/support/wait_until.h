#ifndef BANYANKNOT_TEST_SUPPORT_WAIT_UNTIL_H_
#define BANYANKNOT_TEST_SUPPORT_WAIT_UNTIL_H_

#include <chrono>
#include <functional>
#include <thread>

#include "banyanknot/state/util/time.h"

namespace banyanknot::testing {

/// \brief Asks again and again until `condition` holds.
/// \returns false if it does not within `bound`
inline bool WaitUntil(const std::function<bool()>& condition,
                      state::Duration bound) {
  constexpr std::chrono::milliseconds kPoll(20);
  const std::chrono::steady_clock::time_point deadline =
      std::chrono::steady_clock::now() + bound;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) return false;
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

}  // namespace banyanknot::testing

#endif  // BANYANKNOT_TEST_SUPPORT_WAIT_UNTIL_H_
