#ifndef BANYANKNOT_COORDINATION_FLEET_PAUSE_DETECTOR_H_
#define BANYANKNOT_COORDINATION_FLEET_PAUSE_DETECTOR_H_

#include <atomic>
#include <string>
#include <vector>

#include "banyanknot/coordination/audit_sink.h"
#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/fleet/contact_log.h"
#include "banyanknot/coordination/membership_view.h"
#include "banyanknot/coordination/timer_service.h"
#include "banyanknot/coordination/view_guard.h"
#include "banyanknot/coordination/view_refresher.h"

namespace banyanknot::coordination {

/// \brief Detects pauses of the process and isolation of the host.
///
/// Thread-safe. A gap between clock readings makes the view stale until the
/// platform or enough peers have answered a request sent after the gap. After a
/// timeout without answers, new work goes to this host's own failure domain
/// only; likewise when neither the platform nor any host of another failure
/// domain has answered for a while.
class PauseDetector : public ViewGuard {
 public:
  /// \param refreshers called, in order, while the view needs confirmation
  PauseDetector(const Clock& clock, TimerService& timers,
                const MembershipView& view, const ContactLog& contacts,
                std::vector<ViewRefresher*> refreshers, AuditSink& audit);

  /// \brief Starts the periodic check.
  void Start();

  /// \brief Returns the freshness, after a check for a pause since the latest
  /// periodic check.
  ViewFreshness Freshness() override;

 private:
  void Tick();
  void DetectPause(state::TimePoint now);
  void Refresh();
  void SetFreshness(ViewFreshness next, const std::string& reason);
  bool IsConfirmedSince(state::TimePoint since) const;
  bool HasContactSince(state::TimePoint since) const;

  const Clock& clock;
  TimerService& timers;
  const MembershipView& view;
  const ContactLog& contacts;
  const std::vector<ViewRefresher*> refreshers;
  AuditSink& audit;
  std::atomic<ViewFreshness> freshness{ViewFreshness::kFresh};
  std::atomic<state::Duration::rep> ticked_at{0};
  std::atomic<state::Duration::rep> stale_since{0};
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_FLEET_PAUSE_DETECTOR_H_
