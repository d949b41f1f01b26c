#ifndef BANYANKNOT_COORDINATION_ROUTING_STOP_ADMISSION_H_
#define BANYANKNOT_COORDINATION_ROUTING_STOP_ADMISSION_H_

#include <atomic>
#include <mutex>
#include <optional>

#include "banyanknot/coordination/stop_schedule.h"
#include "banyanknot/state/routing/relay_request.h"
#include "banyanknot/state/routing/route_table.h"

namespace banyanknot::coordination {

/// \brief Decides which requests a host that is stopping still takes.
///
/// A request is refused as not run if the stop is likely to end it; callers are
/// better served by another host. One that is not idempotent is taken only if
/// its whole time fits, since an outcome that the stop makes unknown can't be
/// repaired by a retry. Thread-safe.
class StopAdmission {
 public:
  void Begin(const StopSchedule& schedule);
  bool HasBegun() const { return this->has_begun; }

  /// \param typical_reply_time of the slowest service that the request needs
  bool Admits(const state::RelayRequest& request, const state::Route& route,
              state::Duration typical_reply_time, state::TimePoint now) const;
  /// \brief Shortens the deadline of a request to the end of the stop, if one
  /// has begun.
  /// \pre request.deadline is positive
  void LimitDeadline(state::RelayRequest& request) const;
  /// \brief Returns the time after which a refused caller reaches another host.
  state::Duration RetryAfter(state::TimePoint now) const;

 private:
  std::optional<StopSchedule> Schedule() const;

  // Set after the schedule; without a stop, requests take no lock.
  std::atomic<bool> has_begun{false};
  mutable std::mutex mutex;
  std::optional<StopSchedule> schedule;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_STOP_ADMISSION_H_
