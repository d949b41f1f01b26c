#include "banyanknot/coordination/fleet/stop_sequence.h"

#include <algorithm>
#include <utility>

namespace banyanknot::coordination {
namespace {

constexpr state::Duration kCheckInterval = state::Milliseconds(20);
/// From the last answer to the end of the shutdown: callers read it, and
/// connections close.
constexpr state::Duration kLastAnswersTime = state::Milliseconds(300);

}  // namespace

StopSequence::StopSequence(state::HostId self, const Clock& clock,
                           TimerService& timers,
                           const state::CatalogueTable& catalogue,
                           const Readiness& start, StopTarget& target,
                           AuditSink& audit)
    : self(std::move(self)),
      clock(clock),
      timers(timers),
      catalogue(catalogue),
      start(start),
      target(target),
      audit(audit) {}

bool StopSequence::IsReady() const {
  return this->phase == StopPhase::kServing && this->start.IsReady();
}

bool StopSequence::TryTransition(StopPhase from, StopPhase to,
                                 const std::string& detail) {
  StopPhase expected = from;
  if (!this->phase.compare_exchange_strong(expected, to)) return false;
  this->audit.Append({AuditKind::kHostLifecycle, this->self.Text(), 0, "", 0,
                      "local",
                      std::string(NameOf(from)) + " to " +
                          std::string(NameOf(to)) + ": " + detail});
  return true;
}

void StopSequence::Begin() {
  const state::FleetPolicy policy = this->catalogue.FindFleetPolicy();
  if (!this->TryTransition(StopPhase::kServing, StopPhase::kLeaving,
                           "stop requested")) {
    return;
  }
  const state::TimePoint now = this->clock.Now();
  this->target.AnnounceLeaving(
      {now + policy.leave_grace,
       now + policy.stop_timeout -
           std::min(kLastAnswersTime, policy.stop_timeout / 4)});
  this->timers.RunAt(now + policy.leave_grace,
                     [this] { this->StopAccepting(); });
  this->timers.RunAt(now + policy.stop_timeout,
                     [this] { this->ForceStop("stop_bound elapsed"); });
}

void StopSequence::StopAccepting() {
  if (!this->TryTransition(StopPhase::kLeaving, StopPhase::kFinishing,
                           "leave_grace elapsed")) {
    return;
  }
  this->target.StopAccepting();
  this->CheckFinished();
}

void StopSequence::CheckFinished() {
  if (this->phase != StopPhase::kFinishing) return;
  if (this->target.InFlight() > 0) {
    this->timers.RunAt(this->clock.Now() + kCheckInterval,
                       [this] { this->CheckFinished(); });
    return;
  }
  if (this->TryTransition(StopPhase::kFinishing, StopPhase::kStopped,
                          "all requests finished")) {
    this->target.OnStopped(StopPhase::kStopped, 0);
  }
}

void StopSequence::Abort() { this->ForceStop("second stop requested"); }

void StopSequence::ForceStop(const std::string& reason) {
  const std::size_t left = this->target.InFlight();
  const std::string detail =
      reason + "; " + std::to_string(left) + " still in flight";
  const bool is_forced =
      this->TryTransition(StopPhase::kLeaving, StopPhase::kForced, detail) ||
      this->TryTransition(StopPhase::kFinishing, StopPhase::kForced, detail);
  if (is_forced) this->target.OnStopped(StopPhase::kForced, left);
}

}  // namespace banyanknot::coordination
