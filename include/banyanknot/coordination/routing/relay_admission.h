#ifndef BANYANKNOT_COORDINATION_ROUTING_RELAY_ADMISSION_H_
#define BANYANKNOT_COORDINATION_ROUTING_RELAY_ADMISSION_H_

#include "banyanknot/coordination/routing/relay_deadlines.h"
#include "banyanknot/coordination/routing/relay_parts.h"
#include "banyanknot/coordination/routing/relay_policies.h"
#include "banyanknot/state/routing/route.h"

namespace banyanknot::coordination {

/// \brief Why a part gets no server.
enum class RelayAdmissionResult {
  kAdmitted,
  kNoServer,      ///< none may get work
  kNoRoomInTime,  ///< all are taken, and a reply would come after the end
};

/// \brief Judges for one request whether its parts are served in time, and
/// when its caller should come back if they are not.
///
/// Not thread-safe.
class RelayAdmission {
 public:
  RelayAdmission(const RelayPolicies& policies, const state::Route& route,
                 state::TimePoint deadline)
      : policies(policies), route(route), deadline(deadline) {}

  /// \brief What keeps a part that nothing was sent for from its server.
  RelayAdmissionResult CheckPart(const RelayPart& part,
                                 state::TimePoint now) const;

  /// \brief What keeps the request from its least answer, before anything is
  /// sent.
  /// \param needed parts of the least answer
  RelayAdmissionResult CheckRequest(const RelayParts& parts,
                                    std::size_t min_parts,
                                    state::TimePoint now);

  /// \brief Tells of a part that waited whether a reply would come too late.
  bool WouldMissDeadline(const RelayPart& part, state::TimePoint now) const;

  /// \brief Notes that a part found no room in time.
  void RecordCapacityShortage(const RelayPart& part);
  bool HasCapacityShortage() const {
    return this->shortage_estimate.delay.count() > 0;
  }
  /// \brief What was foretold where there was no room; zero if nothing was.
  state::Duration EstimatedQueueingDelay() const {
    return this->shortage_estimate.delay;
  }

  /// \brief How long a caller that is turned away should stay away.
  state::Duration RetryAfter(state::TimePoint now) const;

 private:
  QueueingDelayEstimate EstimateDelayFor(const RelayPart& part) const;

  const RelayPolicies policies;
  const state::Route& route;
  const state::TimePoint deadline;
  state::ServiceId saturated_service;
  QueueingDelayEstimate shortage_estimate;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RELAY_ADMISSION_H_
