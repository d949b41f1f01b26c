#include "banyanknot/coordination/routing/stop_admission.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

/// An idempotent request is taken if this many typical reply times are left.
constexpr int kReplyTimes = 4;
/// Leaves room for one hedge where the typical reply time is short.
constexpr state::Duration kMinTimeLeft = state::Milliseconds(250);
/// Where the load balancer sends no callers any more, another host is reached
/// at once.
constexpr state::Duration kMinRetryAfter = state::Milliseconds(20);

}  // namespace

void StopAdmission::Begin(const StopSchedule& new_schedule) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->schedule = new_schedule;
  }
  this->has_begun = true;
}

std::optional<StopSchedule> StopAdmission::Schedule() const {
  if (!this->has_begun) return std::nullopt;
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->schedule;
}

bool StopAdmission::Admits(const state::RelayRequest& request,
                           const state::Route& route,
                           state::Duration typical_reply_time,
                           state::TimePoint now) const {
  const std::optional<StopSchedule> stop = this->Schedule();
  if (!stop) return true;
  const state::TimePoint own_end =
      request.received_at + std::min(request.deadline, route.timeout);
  if (own_end <= stop->answered_by) return true;
  if (!route.is_idempotent) return false;
  return now + std::max(kReplyTimes * typical_reply_time, kMinTimeLeft) <=
         stop->answered_by;
}

void StopAdmission::LimitDeadline(state::RelayRequest& request) const {
  const std::optional<StopSchedule> stop = this->Schedule();
  if (!stop) return;
  request.deadline = std::min(
      request.deadline, std::max(stop->answered_by - request.received_at,
                                 state::Duration(state::Milliseconds(1))));
}

state::Duration StopAdmission::RetryAfter(state::TimePoint now) const {
  const std::optional<StopSchedule> stop = this->Schedule();
  if (!stop) return kMinRetryAfter;
  return std::max(stop->unlisted_at - now, kMinRetryAfter);
}

}  // namespace banyanknot::coordination
