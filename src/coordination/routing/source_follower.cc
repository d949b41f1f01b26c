#include "banyanknot/coordination/routing/source_follower.h"

#include <algorithm>
#include <string>

#include "banyanknot/coordination/delegation/shared_source.h"

namespace banyanknot::coordination {
namespace {

/// Part of the contact timeout reserved for the client's timeout margin beyond
/// a watch and for a new connection.
constexpr state::Duration kContactMargin = state::Milliseconds(1'500);
constexpr state::Duration kMinWatchWait = state::Milliseconds(1'000);
/// Delay after a watch that returned changes, so that the next returns several:
/// servers that start together register one by one, and each call is charged.
constexpr state::Duration kBatchingDelay = state::Milliseconds(600);
constexpr std::int64_t kInitialRetryDelayMs = 40;
constexpr std::int64_t kMaxRetryDelayMs = 400;
constexpr unsigned kMaxDoublings = 4;
/// Removals are deferred for this long after the source returned.
constexpr state::Duration kDeferredRemovalWindow = state::Milliseconds(2'500);

}  // namespace

SourceFollower::SourceFollower(const Clock& clock, TimerService& timers,
                               RandomSource& random, RoutingSource& source,
                               RoutingIntake& intake, EventLog& log,
                               state::Duration contact_timeout)
    : clock(clock),
      timers(timers),
      random(random),
      source(source),
      intake(intake),
      log(log),
      watch_wait(std::max(contact_timeout - kContactMargin, kMinWatchWait)) {}

void SourceFollower::Start() { this->ReadAll(); }

void SourceFollower::ReadAll() {
  this->source.ReadAll(
      [this](const state::Result<RoutingBatch, SourceFailure>& result) {
        this->OnReadAll(result);
      });
}

void SourceFollower::OnReadAll(
    const state::Result<RoutingBatch, SourceFailure>& result) {
  if (!state::IsOk(result)) {
    this->OnFailure(state::ErrorOf(result));
    return;
  }
  const RoutingBatch& batch = state::ValueOf(result);
  if (!batch.is_stale) this->OnSuccess(batch);
  const bool has_lost_changes =
      this->has_position && batch.position.era != this->position.era;
  if (has_lost_changes) this->RecordEraChange(batch.position);
  this->intake.ApplyAll(batch, has_lost_changes ? RemovalMode::kAfterLoss
                                                : this->RemovalModeOf(batch));
  this->SetPosition(batch.position);
  this->has_read = true;
  this->Watch();
}

void SourceFollower::Watch(state::Duration unheard) {
  this->source.Watch(
      this->position, std::max(this->watch_wait - unheard, kMinWatchWait),
      [this](const state::Result<RoutingBatch, SourceFailure>& result) {
        this->OnWatched(result);
      });
}

void SourceFollower::OnWatched(
    const state::Result<RoutingBatch, SourceFailure>& result) {
  if (!state::IsOk(result)) {
    if (NeedsSnapshot(state::ErrorOf(result))) this->has_read = false;
    this->OnFailure(state::ErrorOf(result));
    return;
  }
  const RoutingBatch& batch = state::ValueOf(result);
  if (!batch.is_stale) this->OnSuccess(batch);
  this->intake.Apply(batch, this->RemovalModeOf(batch));
  this->SetPosition(std::max(this->position, batch.position));
  // Another host has batched the changes that it passes on.
  if (batch.changes.empty() || batch.is_passed_on) {
    this->Watch();
  } else {
    this->timers.RunAt(this->clock.Now() + kBatchingDelay,
                       [this] { this->Watch(kBatchingDelay); });
  }
}

void SourceFollower::OnFailure(SourceFailure failure) {
  const state::TimePoint now = this->clock.Now();
  if (!this->is_lost) {
    this->is_lost = true;
    this->lost_at = now;
    this->log.Write(EventCode::kSourceLost,
                    {{"failure", std::string(NameOf(failure))},
                     {"revision", std::to_string(this->position.revision)},
                     {"era", std::to_string(this->position.era)}});
  }
  const unsigned doublings = std::min(this->failures++, kMaxDoublings);
  const std::int64_t max_delay =
      std::min(kInitialRetryDelayMs << doublings, kMaxRetryDelayMs);
  const std::int64_t delay =
      max_delay / 2 + static_cast<std::int64_t>(this->random.Below(
                          static_cast<std::uint64_t>(max_delay)));
  this->timers.RunAt(now + state::Milliseconds(delay), [this] {
    if (this->has_read) {
      this->Watch();
    } else {
      this->ReadAll();
    }
  });
}

void SourceFollower::OnSuccess(const RoutingBatch& batch) {
  this->failures = 0;
  // What another host passes on may be that old.
  const state::Duration least_age =
      batch.is_passed_on ? SharedSource::kMaxAge : state::Duration(0);
  this->heard_at = this->clock.Now() - std::max(batch.age, least_age);
  if (!this->is_lost) return;
  this->is_lost = false;
  this->regained_at = this->clock.Now();
  this->log.Write(EventCode::kSourceRegained,
                  {{"after_ms", std::to_string(state::ToMilliseconds(
                                    this->regained_at - this->lost_at))},
                   {"revision", std::to_string(batch.position.revision)},
                   {"era", std::to_string(batch.position.era)}});
}

void SourceFollower::RecordEraChange(const state::SourcePosition& next) {
  ++this->era_changes;
  this->log.Write(EventCode::kSourceEraChanged,
                  {{"from_era", std::to_string(this->position.era)},
                   {"from_revision", std::to_string(this->position.revision)},
                   {"to_era", std::to_string(next.era)},
                   {"to_revision", std::to_string(next.revision)}});
}

void SourceFollower::SetPosition(const state::SourcePosition& next) {
  this->has_position = true;
  this->position = next;
  this->known_revision = next.revision;
  this->known_era = next.era;
}

void SourceFollower::CollectMetrics(std::vector<MetricSample>& samples) const {
  samples.push_back({"banyanknot_relay_source_era",
                     "Era of the source that this host follows.",
                     MetricKind::kGauge,
                     {},
                     static_cast<double>(this->known_era)});
  samples.push_back({"banyanknot_relay_source_revision",
                     "Revision up to which this host knows what is published.",
                     MetricKind::kGauge,
                     {},
                     static_cast<double>(this->known_revision)});
  samples.push_back({"banyanknot_relay_source_era_changes_total",
                     "Times that the source returned from a copy of its data.",
                     MetricKind::kCounter,
                     {},
                     static_cast<double>(this->era_changes)});
}

std::optional<state::Duration> SourceFollower::Age(state::TimePoint now) const {
  const state::TimePoint heard = this->heard_at;
  if (heard == state::TimePoint::min()) return std::nullopt;
  return now - heard;
}

RemovalMode SourceFollower::RemovalModeOf(const RoutingBatch& batch) const {
  if (batch.defers_removals) return RemovalMode::kDeferred;
  const bool has_just_returned =
      this->regained_at != state::TimePoint::min() &&
      this->clock.Now() - this->regained_at < kDeferredRemovalWindow;
  return has_just_returned ? RemovalMode::kDeferred : RemovalMode::kImmediate;
}

}  // namespace banyanknot::coordination
