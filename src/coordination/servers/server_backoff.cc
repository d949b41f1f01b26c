#include "banyanknot/coordination/servers/server_backoff.h"

#include <algorithm>

namespace banyanknot::coordination {

state::Duration ServerBackoff::DelayAfter(
    std::uint32_t consecutive_failures) const {
  constexpr std::uint32_t kMaxDoublings = 16;
  if (consecutive_failures <= this->options.tolerated_failures) {
    return state::Duration(0);
  }
  const std::uint32_t doublings =
      std::min(consecutive_failures - this->options.tolerated_failures - 1,
               kMaxDoublings);
  const state::Duration delay = std::min(
      this->options.initial_delay * (1 << doublings), this->options.max_delay);
  const std::uint64_t half = static_cast<std::uint64_t>(delay.count() / 2);
  return delay / 2 + state::Duration(this->random.Below(half + 1));
}

}  // namespace banyanknot::coordination
