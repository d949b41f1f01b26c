#ifndef BANYANKNOT_COORDINATION_ROUTING_RELAY_ADMISSION_H_
#define BANYANKNOT_COORDINATION_ROUTING_RELAY_ADMISSION_H_

#include <cstddef>
#include <optional>

#include "banyanknot/coordination/routing/relay_deadlines.h"
#include "banyanknot/coordination/routing/relay_parts.h"
#include "banyanknot/coordination/routing/relay_policies.h"

namespace banyanknot::coordination {

/// \brief Whether a part or request is admitted, and why not.
enum class RelayAdmissionResult {
  kAdmitted,
  kNoServer,          ///< no usable server
  kNoCapacityInTime,  ///< no capacity, and a reply would miss the deadline
};

/// \brief Admission control for one request: rejects what can't be answered
/// before its deadline and says when to retry.
///
/// Not thread-safe.
class RelayAdmission {
 public:
  /// \param priority of the request; 0 is the most urgent
  RelayAdmission(const RelayPolicies& policies, unsigned priority,
                 state::TimePoint deadline)
      : policies(policies), priority(priority), deadline(deadline) {}

  /// \brief Checks a part without attempts, which may be queued if admitted.
  RelayAdmissionResult CheckPart(const RelayPart& part,
                                 state::TimePoint now) const;

  /// \brief Checks a whole request before anything is sent.
  /// \param min_parts parts that must be admitted
  RelayAdmissionResult CheckRequest(const RelayParts& parts,
                                    std::size_t min_parts,
                                    state::TimePoint now);

  /// \brief Returns true if a typical reply to a request sent at `now` would
  /// come after the deadline.
  bool WouldMissDeadline(const RelayPart& part, state::TimePoint now) const;

  /// \brief Records that a part gets no capacity in time, with the current
  /// queueing delay estimate for its service.
  void RecordCapacityShortage(const RelayPart& part);
  bool HasCapacityShortage() const {
    return this->shortage_estimate.delay.count() > 0;
  }
  /// \brief Returns the estimate at the last shortage; zero if there was none.
  state::Duration EstimatedQueueingDelay() const {
    return this->shortage_estimate.delay;
  }

  /// \brief Returns when a server of a part that can't be sent now ends its
  /// back-off; nothing if the part doesn't depend on that.
  std::optional<state::TimePoint> BackOffEnd(const RelayPart& part,
                                             state::TimePoint now) const;

  /// \brief Returns the time after which a rejected caller should retry: when
  /// `min_parts` parts have a server again, and as the policy says.
  state::Duration RetryAfter(const RelayParts& parts, std::size_t min_parts,
                             state::TimePoint now) const;

 private:
  QueueingDelayEstimate EstimateDelayFor(const RelayPart& part) const;
  state::Duration BackOffOf(const RelayParts& parts, std::size_t min_parts,
                            state::TimePoint now) const;

  const RelayPolicies policies;
  const unsigned priority;
  const state::TimePoint deadline;
  state::ServiceId saturated_service;
  QueueingDelayEstimate shortage_estimate;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RELAY_ADMISSION_H_
