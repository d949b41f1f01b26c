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

/// \brief Stops a host without cutting a request.
///
/// Thread-safe. Not ready and goodbye; serving on for the fleet policy's
/// `leave_grace`, while the balancer still sends; then accepting nothing and
/// finishing what is in flight. `stop_timeout` or Abort() ends it early.
class StopSequence : public Readiness {
 public:
  /// \param start tells whether the host was ready before the stop
  StopSequence(state::HostId self, const Clock& clock, TimerService& timers,
               const state::CatalogueTable& catalogue, const Readiness& start,
               StopTarget& target, AuditSink& audit);

  /// \brief Starts the stop; without effect once it has begun.
  void Begin();

  /// \brief Ends the stop now, with whatever is left.
  void Abort();

  /// \brief Ready as before, until the stop begins.
  bool IsReady() const override;

  StopPhase Phase() const { return this->phase; }

 private:
  bool Move(StopPhase from, StopPhase to, const std::string& detail);
  void StopAccepting();
  void CheckFinished();
  void Force(const std::string& reason);

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
