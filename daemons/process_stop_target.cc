#include "process_stop_target.h"

#include <utility>

namespace banyanknot::daemons {
namespace {

/// The announcement is sent in batches over this time: a large fleet would get
/// a burst.
constexpr state::Duration kLeaveAnnouncementSpread = state::Milliseconds(500);

}  // namespace

ProcessStopTarget::ProcessStopTarget(
    coordination::Membership& membership,
    const coordination::QueryExecutor& queries,
    const coordination::ActionExecutor& actions, transport::HttpServer& server)
    : membership(membership),
      queries(queries),
      actions(actions),
      server(server) {}

void ProcessStopTarget::SetStoppedHandler(StoppedHandler handler) {
  this->handler = std::move(handler);
}

void ProcessStopTarget::AnnounceLeaving(
    const coordination::StopSchedule& /*schedule*/) {
  // Services' limits keep deadlines well below the time for a shutdown.
  this->membership.AnnounceLeaving(kLeaveAnnouncementSpread);
}

void ProcessStopTarget::StopAccepting() { this->server.Shutdown(); }

std::size_t ProcessStopTarget::InFlight() const {
  return this->queries.InFlight() + this->actions.InFlight() +
         this->server.Connections();
}

void ProcessStopTarget::OnStopped(coordination::StopPhase phase,
                                  std::size_t remaining) {
  if (this->handler) this->handler(phase, remaining);
}

}  // namespace banyanknot::daemons
