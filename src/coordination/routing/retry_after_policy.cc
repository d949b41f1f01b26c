#include "banyanknot/coordination/routing/retry_after_policy.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

/// Range of retries without an estimate: longer than a caller's round trip,
/// shorter than a third of the shortest deadline in use.
constexpr std::int64_t kMinRetryAfterMs = 40;
constexpr std::int64_t kJitterMs = 120;
/// Load changes within a second, so estimates are not valid for longer.
constexpr state::Duration kMaxRetryAfter = state::Milliseconds(1'000);

}  // namespace

state::Duration JitteredRetryAfter::RetryAfter(
    const state::ServiceId& /*service*/,
    const QueueingDelayEstimate& /*estimate*/, state::TimePoint /*now*/) {
  return state::Milliseconds(kMinRetryAfterMs +
                             static_cast<std::int64_t>(this->random.Below(
                                 static_cast<std::uint64_t>(kJitterMs))));
}

state::Duration PacedRetryAfter::RetryAfter(
    const state::ServiceId& service, const QueueingDelayEstimate& estimate,
    state::TimePoint now) {
  const state::Duration jittered_delay =
      this->jittered.RetryAfter(service, estimate, now);
  if (estimate.dequeue_interval.count() == 0) return jittered_delay;
  return this->last_slots.Update(service, [&](state::TimePoint& last_slot) {
    const state::TimePoint slot =
        std::max(now + estimate.delay, last_slot + estimate.dequeue_interval);
    last_slot = std::min(slot, now + kMaxRetryAfter);
    return std::max(jittered_delay, last_slot - now);
  });
}

}  // namespace banyanknot::coordination
