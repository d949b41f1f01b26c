#ifndef BANYANKNOT_COORDINATION_STOP_TARGET_H_
#define BANYANKNOT_COORDINATION_STOP_TARGET_H_

#include <cstddef>

#include "banyanknot/coordination/stop_phase.h"
#include "banyanknot/coordination/stop_schedule.h"

namespace banyanknot::coordination {

/// \brief The operations by which a StopSequence stops its host.
///
/// Thread-safe.
class StopTarget {
 public:
  virtual ~StopTarget() = default;

  /// \brief Announces that this host is leaving, and answers every request in
  /// time.
  virtual void AnnounceLeaving(const StopSchedule& schedule) = 0;

  /// \brief Stops accepting; connections in use close after their response.
  virtual void StopAccepting() = 0;

  /// \brief Returns the number of requests and connections still in use.
  virtual std::size_t InFlight() const = 0;

  /// \brief Called once, when the shutdown has ended.
  /// \param phase kStopped, or kForced with `remaining` still in use
  virtual void OnStopped(StopPhase phase, std::size_t remaining) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_STOP_TARGET_H_
