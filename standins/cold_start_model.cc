#include "cold_start_model.h"

#include <algorithm>

namespace banyanknot::standins {
namespace {

/// Time that the news of a new instance needs to reach every sender.
constexpr state::Duration kAnnouncement = state::Milliseconds(50);

}  // namespace

ColdStartModel::ColdStartModel(const ColdStart& policy, state::TimePoint now)
    : policy(policy),
      warm_at(policy.starts_cold ? now + policy.warm_up : now),
      announced_at(now),
      fallen_until(now) {}

void ColdStartModel::TurnCold(state::TimePoint now) {
  ++this->generation;
  this->warm_at = now + this->policy.warm_up;
  this->announced_at = state::TimePoint::max();
}

bool ColdStartModel::IsCold(state::TimePoint now) const {
  return now < this->warm_at;
}

void ColdStartModel::OnArrival(std::uint32_t in_progress,
                               state::TimePoint now) {
  if (!this->IsCold(now)) return;
  std::uint32_t& seen = now < this->announced_at
                            ? this->counters.max_unannounced
                            : this->counters.max_in_progress;
  seen = std::max(seen, in_progress);
  if (in_progress <= this->policy.cold_slots || now < this->fallen_until) {
    return;
  }
  ++this->counters.falls;
  this->fallen_until = now + this->policy.fall_time;
}

void ColdStartModel::OnReply(state::TimePoint now) {
  if (this->announced_at != state::TimePoint::max()) return;
  this->announced_at = now + kAnnouncement;
}

std::uint64_t ColdStartModel::SlowFactor(state::TimePoint now) const {
  return now < this->fallen_until ? this->policy.fall_factor : 1;
}

}  // namespace banyanknot::standins
