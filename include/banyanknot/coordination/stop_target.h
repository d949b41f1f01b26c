#ifndef BANYANKNOT_COORDINATION_STOP_TARGET_H_
#define BANYANKNOT_COORDINATION_STOP_TARGET_H_

#include <cstddef>

#include "banyanknot/coordination/stop_phase.h"

namespace banyanknot::coordination {

/// \brief What a StopSequence does to its host.
///
/// Thread-safe.
class StopTarget {
 public:
  virtual ~StopTarget() = default;

  /// \brief Tells peers that this host leaves.
  virtual void AnnounceLeaving() = 0;

  /// \brief Takes no more connections; those in use end after their response.
  virtual void StopAccepting() = 0;

  /// \brief Requests and connections that are still in use.
  virtual std::size_t InFlight() const = 0;

  /// \brief Called once, when the stop has ended.
  /// \param phase kStopped, or kForced with `left` still in use
  virtual void OnStopped(StopPhase phase, std::size_t left) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_STOP_TARGET_H_
