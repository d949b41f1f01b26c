#ifndef BANYANKNOT_COORDINATION_FLEET_STOP_SEQUENCE_H_
#define BANYANKNOT_COORDINATION_FLEET_STOP_SEQUENCE_H_

#include <atomic>
#include <string>

#include "banyanknot/coordination/audit_sink.h"
#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/readiness.h"
#include "banyanknot/coordination/stop_target.h"
#include "banyanknot/coordination/timer_service.h"
#include "banyanknot/state/catalogue_table.h"
#include "banyanknot/state/identifier.h"

namespace banyanknot::coordination {

/// \brief Shuts a host down gracefully, without aborting requests.
///
/// Thread-safe. The host reports not ready and sends its goodbye, then keeps
/// serving for the fleet policy's `leave_grace`, while the load balancer still
/// sends requests. It then accepts no more and drains those in flight.
/// `stop_timeout` or Abort() ends the shutdown early.
class StopSequence : public Readiness {
 public:
  /// \param start readiness of the host before the stop
  StopSequence(state::HostId self, const Clock& clock, TimerService& timers,
               const state::CatalogueTable& catalogue, const Readiness& start,
               StopTarget& target, AuditSink& audit);

  /// \brief Begins the stop; no effect if it has begun already.
  void Begin();

  /// \brief Ends a running stop immediately, with requests still in flight.
  void Abort();

  /// \brief Returns the readiness given as `start`; false once the stop has
  /// begun.
  bool IsReady() const override;

  StopPhase Phase() const { return this->phase; }

 private:
  bool TryTransition(StopPhase from, StopPhase to, const std::string& detail);
  void StopAccepting();
  void CheckFinished();
  void ForceStop(const std::string& reason);

  const state::HostId self;
  const Clock& clock;
  TimerService& timers;
  const state::CatalogueTable& catalogue;
  const Readiness& start;
  StopTarget& target;
  AuditSink& audit;
  std::atomic<StopPhase> phase{StopPhase::kServing};
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_FLEET_STOP_SEQUENCE_H_
