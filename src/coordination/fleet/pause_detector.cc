#include "banyanknot/coordination/fleet/pause_detector.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace banyanknot::coordination {
namespace {

constexpr state::Duration kTickInterval = state::Milliseconds(100);
constexpr state::Duration kPauseThreshold = state::Milliseconds(1'000);
constexpr state::Duration kRefreshTimeout = state::Milliseconds(1'000);
constexpr state::Duration kRefreshAfterSilence = state::Milliseconds(1'250);
constexpr state::Duration kContactTimeout = state::Milliseconds(2'500);
constexpr std::size_t kConfirmingPeers = 2;

state::TimePoint ToTimePoint(state::Duration::rep since_epoch) {
  return state::TimePoint(state::Duration(since_epoch));
}

}  // namespace

PauseDetector::PauseDetector(const Clock& clock, TimerService& timers,
                             const MembershipView& view,
                             const ContactLog& contacts,
                             std::vector<ViewRefresher*> refreshers,
                             AuditSink& audit)
    : clock(clock),
      timers(timers),
      view(view),
      contacts(contacts),
      refreshers(std::move(refreshers)),
      audit(audit) {}

void PauseDetector::Start() {
  const state::TimePoint now = this->clock.Now();
  this->stale_since = now.time_since_epoch().count();
  this->ticked_at = now.time_since_epoch().count();
  this->timers.RunAt(now + kTickInterval, [this] { this->Tick(); });
}

ViewFreshness PauseDetector::Freshness() {
  const state::Duration::rep last = this->ticked_at.load();
  const state::TimePoint now = this->clock.Now();
  if (last != 0 && now - ToTimePoint(last) > kPauseThreshold) {
    this->DetectPause(now);
  }
  return this->freshness;
}

void PauseDetector::DetectPause(state::TimePoint now) {
  state::Duration::rep last = this->ticked_at.load();
  if (now - ToTimePoint(last) <= kPauseThreshold) return;
  const state::Duration gap = now - ToTimePoint(last);
  if (!this->ticked_at.compare_exchange_strong(
          last, now.time_since_epoch().count())) {
    return;
  }
  this->stale_since = now.time_since_epoch().count();
  this->SetFreshness(ViewFreshness::kStale,
                     "process paused for " +
                         std::to_string(state::ToMilliseconds(gap)) + " ms");
  this->Refresh();
}

void PauseDetector::Tick() {
  const state::TimePoint now = this->clock.Now();
  this->DetectPause(now);
  this->ticked_at = now.time_since_epoch().count();
  const state::TimePoint since = ToTimePoint(this->stale_since);
  switch (this->freshness.load()) {
    case ViewFreshness::kFresh:
      if (now - since > kContactTimeout &&
          !this->HasContactSince(now - kContactTimeout)) {
        this->stale_since = now.time_since_epoch().count();
        this->SetFreshness(
            ViewFreshness::kOwnDomainOnly,
            "no reply from the platform or another failure domain");
      }
      break;
    case ViewFreshness::kStale:
      if (this->IsConfirmedSince(since)) {
        this->SetFreshness(ViewFreshness::kFresh,
                           "view confirmed after the refresh");
      } else if (now - since > kRefreshTimeout) {
        this->SetFreshness(ViewFreshness::kOwnDomainOnly,
                           "view refresh timed out");
      }
      break;
    case ViewFreshness::kOwnDomainOnly:
      if (this->IsConfirmedSince(since)) {
        this->SetFreshness(ViewFreshness::kFresh, "view confirmed again");
      }
      break;
  }
  const bool is_silent = !this->HasContactSince(now - kRefreshAfterSilence);
  if (is_silent || this->freshness != ViewFreshness::kFresh) this->Refresh();
  this->timers.RunAt(now + kTickInterval, [this] { this->Tick(); });
}

void PauseDetector::Refresh() {
  for (ViewRefresher* refresher : this->refreshers) refresher->Refresh();
}

bool PauseDetector::IsConfirmedSince(state::TimePoint since) const {
  if (this->contacts.LastPlatform() >= since) return true;
  const std::size_t known = this->view.ReachableHosts().size();
  const std::size_t needed = std::min(kConfirmingPeers, known);
  const bool has_peers = this->contacts.PeersSince(since) >= needed;
  return has_peers && this->HasContactSince(since);
}

bool PauseDetector::HasContactSince(state::TimePoint since) const {
  if (this->contacts.LastPlatform() >= since) return true;
  const state::FailureDomainId& own = this->view.Self().self.domain;
  if (this->contacts.PeersOutside(own, since) > 0) return true;
  for (const state::HostRecord& host : this->view.Hosts()) {
    const bool may_be_unreachable =
        host.listed.domain != own && host.host_state != state::HostState::kLeft;
    if (may_be_unreachable) return false;
  }
  return true;
}

void PauseDetector::SetFreshness(ViewFreshness next,
                                 const std::string& reason) {
  const ViewFreshness before = this->freshness.exchange(next);
  if (before == next) return;
  this->audit.Append({AuditKind::kHostLifecycle,
                      this->view.Self().self.id.Text(), 0, "", 0, "local",
                      "view " + std::string(NameOf(before)) + " to " +
                          std::string(NameOf(next)) + ": " + reason});
}

}  // namespace banyanknot::coordination
