#include "banyanknot/coordination/routing/relay_admission.h"

#include <algorithm>
#include <vector>

namespace banyanknot::coordination {
namespace {

/// Queueing delay estimates are extended by 1/4, since capacity frees up at
/// uneven intervals.
constexpr int kDelayMarginDivisor = 4;

}  // namespace

QueueingDelayEstimate RelayAdmission::EstimateDelayFor(
    const RelayPart& part) const {
  return this->policies.delay_estimator.EstimateDelay(
      part.service, {0, this->priority, this->deadline});
}

RelayAdmissionResult RelayAdmission::CheckPart(const RelayPart& part,
                                               state::TimePoint now) const {
  const ServerPicker& picker = this->policies.picker;
  if (!picker.HasUsableServer(part.service, part.tried, now)) {
    const std::optional<state::TimePoint> back_off_end =
        picker.BackOffEnd(part.service, part.tried, now);
    if (!back_off_end) return RelayAdmissionResult::kNoServer;
    return this->WouldMissDeadline(part, *back_off_end)
               ? RelayAdmissionResult::kNoCapacityInTime
               : RelayAdmissionResult::kAdmitted;
  }
  const state::Duration queueing_delay = this->EstimateDelayFor(part).delay;
  if (queueing_delay.count() == 0) return RelayAdmissionResult::kAdmitted;
  const bool is_late = this->WouldMissDeadline(
      part, now + queueing_delay + queueing_delay / kDelayMarginDivisor);
  return is_late && !picker.HasCapacity(part.service, part.tried, now)
             ? RelayAdmissionResult::kNoCapacityInTime
             : RelayAdmissionResult::kAdmitted;
}

RelayAdmissionResult RelayAdmission::CheckRequest(const RelayParts& parts,
                                                  std::size_t min_parts,
                                                  state::TimePoint now) {
  std::size_t admitted = 0;
  RelayAdmissionResult refusal = RelayAdmissionResult::kAdmitted;
  for (const RelayPart& part : parts.All()) {
    const RelayAdmissionResult result = this->CheckPart(part, now);
    if (result == RelayAdmissionResult::kAdmitted) {
      ++admitted;
    } else if (refusal != RelayAdmissionResult::kNoServer) {
      refusal = result;
      this->RecordCapacityShortage(part);
    }
  }
  return admitted >= min_parts ? RelayAdmissionResult::kAdmitted : refusal;
}

bool RelayAdmission::WouldMissDeadline(const RelayPart& part,
                                       state::TimePoint now) const {
  return now + this->policies.picker.TypicalReplyTime(part.service, now) >=
         this->deadline;
}

void RelayAdmission::RecordCapacityShortage(const RelayPart& part) {
  this->saturated_service = part.service;
  this->shortage_estimate = this->EstimateDelayFor(part);
}

std::optional<state::TimePoint> RelayAdmission::BackOffEnd(
    const RelayPart& part, state::TimePoint now) const {
  const ServerPicker& picker = this->policies.picker;
  if (picker.HasUsableServer(part.service, part.tried, now)) {
    return std::nullopt;
  }
  return picker.BackOffEnd(part.service, part.tried, now);
}

// A retry may reach the servers that this request has tried.
state::Duration RelayAdmission::BackOffOf(const RelayParts& parts,
                                          std::size_t min_parts,
                                          state::TimePoint now) const {
  const ServerPicker& picker = this->policies.picker;
  std::vector<state::TimePoint> available_at;
  for (const RelayPart& part : parts.All()) {
    if (picker.HasUsableServer(part.service, {}, now)) {
      available_at.push_back(now);
      continue;
    }
    const std::optional<state::TimePoint> end =
        picker.BackOffEnd(part.service, {}, now);
    if (end) available_at.push_back(*end);
  }
  if (available_at.size() < min_parts) return state::Duration(0);
  const auto last_needed =
      available_at.begin() + static_cast<std::ptrdiff_t>(min_parts) - 1;
  std::nth_element(available_at.begin(), last_needed, available_at.end());
  return *last_needed - now;
}

state::Duration RelayAdmission::RetryAfter(const RelayParts& parts,
                                           std::size_t min_parts,
                                           state::TimePoint now) const {
  return this->BackOffOf(parts, min_parts, now) +
         this->policies.retry_after.RetryAfter(this->saturated_service,
                                               this->shortage_estimate, now);
}

}  // namespace banyanknot::coordination
