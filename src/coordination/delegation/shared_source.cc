#include "banyanknot/coordination/delegation/shared_source.h"

#include <algorithm>
#include <string>
#include <utility>

namespace banyanknot::coordination {
namespace {

/// A watcher without news of the source is asked again after this time.
constexpr state::Duration kLeaveOutTime = state::Milliseconds(3'000);
/// After the source failed, watchers are asked in its place for this long, even
/// those without news of it, so that not every host calls it again and again.
constexpr state::Duration kSourcePause = state::Milliseconds(1'200);
/// Longest wait at the source when the last call to it failed, or when a
/// watcher was asked since: the source may be in another era, which only a
/// response tells.
constexpr state::Duration kFirstSourceWait = state::Milliseconds(200);
/// Shortest wait at a watcher, so that followers of one with an old view don't
/// call it without pause.
constexpr state::Duration kMinFollowerWait = state::Milliseconds(100);

/// A response that comes later than the wait and this may have been there for
/// long, unread: this process may have been paused.
constexpr state::Duration kResponseMargin = state::Milliseconds(1'000);

/// Tells whether the source failed to answer.
bool HasFailed(const state::Result<RoutingBatch, SourceFailure>& result) {
  return !state::IsOk(result) && !NeedsSnapshot(state::ErrorOf(result));
}

}  // namespace

SharedSource::SharedSource(const Clock& clock, RoutingSource& source,
                           HostLink& link, GathererRoster& roster,
                           const ChangeDecoder& decoder, ChangeHistory& history,
                           EventLog& log)
    : clock(clock),
      source(source),
      link(link),
      roster(roster),
      decoder(decoder),
      history(history),
      log(log) {}

std::optional<SharedSource::Choice> SharedSource::ChooseWatcher(
    state::TimePoint now) const {
  const std::vector<state::HostAdvert> watchers = this->roster.Watchers(now);
  const bool accepts_stale = this->HasSourceJustFailed(now);
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (const state::HostAdvert& watcher : watchers) {
    const auto found = this->left_out_until.find(watcher.id);
    if (found == this->left_out_until.end() || found->second <= now) {
      return Choice{watcher, false};
    }
  }
  if (watchers.empty() || !accepts_stale) return std::nullopt;
  return Choice{watchers.front(), true};
}

void SharedSource::LeaveOut(const state::HostId& host,
                            const std::optional<PassedChanges>& passed) {
  const state::TimePoint now = this->clock.Now();
  ++this->watchers_left_out;
  const char* reason = "stale";
  if (!passed) {
    reason = "silent";
  } else if (passed->is_history_gone) {
    reason = "history_gone";
  }
  this->log.Write(
      EventCode::kWatcherLeftOut,
      {{"host", host.Text()},
       {"reason", reason},
       {"age_ms", passed ? std::to_string(state::ToMilliseconds(passed->age))
                         : "unknown"}});
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (auto entry = this->left_out_until.begin();
       entry != this->left_out_until.end();) {
    entry = entry->second <= now ? this->left_out_until.erase(entry)
                                 : std::next(entry);
  }
  this->left_out_until[host] = now + kLeaveOutTime;
}

bool SharedSource::HasSourceJustFailed(state::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->source_failed_at && now - *this->source_failed_at < kSourcePause;
}

void SharedSource::OnSourceResult(
    const state::Result<RoutingBatch, SourceFailure>& result,
    state::TimePoint now) {
  bool has_returned = false;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->follows_source = state::IsOk(result);
    if (HasFailed(result)) {
      this->source_failed_at = now;
    } else {
      has_returned = this->source_failed_at.has_value();
      this->source_failed_at.reset();
    }
  }
  if (has_returned) this->history.RecordReturn(now);
}

RoutingBatch SharedSource::ToBatch(const PassedChanges& passed) {
  RoutingBatch batch;
  batch.position = passed.position;
  batch.is_passed_on = true;
  batch.is_stale = passed.age > kMaxAge;
  batch.age = passed.age;
  batch.defers_removals = passed.defers_removals;
  batch.encoded = passed.changes;
  for (const EncodedChange& encoded : passed.changes) {
    std::optional<RoutingChange> change = this->decoder.Decode(encoded);
    if (change) batch.changes.push_back(std::move(*change));
  }
  this->RecordPosition(batch.position);
  return batch;
}

state::Duration SharedSource::Lateness(state::TimePoint sent_at,
                                       state::Duration wait) const {
  const state::Duration elapsed = this->clock.Now() - sent_at;
  return elapsed > wait + kResponseMargin ? elapsed : state::Duration(0);
}

void SharedSource::RecordPosition(const state::SourcePosition& position) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->newest_position =
      std::max(this->newest_position.value_or(position), position);
}

bool SharedSource::RecordSnapshotPosition(
    const state::SourcePosition& position) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const state::SourcePosition newest = this->newest_position.value_or(position);
  const bool is_other_era = position.era != newest.era;
  this->newest_position = is_other_era ? position : std::max(newest, position);
  return is_other_era;
}

bool SharedSource::IsUsableSnapshot(const PassedChanges& passed,
                                    bool accepts_stale) const {
  if (!passed.is_snapshot) return false;
  if (passed.age > kMaxAge && !accepts_stale) return false;
  // An older one would undo what this host knows.
  const std::lock_guard<std::mutex> lock(this->mutex);
  return !this->newest_position || passed.position >= *this->newest_position;
}

void SharedSource::ReadSource(RoutingBatchHandler handler) {
  ++this->source_calls;
  const state::TimePoint sent_at = this->clock.Now();
  this->source.ReadAll([this, sent_at, handler = std::move(handler)](
                           state::Result<RoutingBatch, SourceFailure> result) {
    const state::TimePoint now = this->clock.Now();
    this->OnSourceResult(result, now);
    if (!state::IsOk(result)) {
      handler(std::move(result));
      return;
    }
    RoutingBatch batch = state::TakeValue(std::move(result));
    batch.age = this->Lateness(sent_at, state::Duration(0));
    if (this->RecordSnapshotPosition(batch.position)) {
      this->history.RecordReturn(now);
    }
    this->history.RecordSnapshot(batch, now);
    handler(std::move(batch));
  });
}

void SharedSource::ReadAll(RoutingBatchHandler handler) {
  const std::optional<Choice> choice = this->ChooseWatcher(this->clock.Now());
  if (!choice) {
    this->ReadSource(std::move(handler));
    return;
  }
  this->link.ReadSnapshot(
      choice->watcher.endpoint,
      [this, choice = *choice, sent_at = this->clock.Now(),
       handler =
           std::move(handler)](std::optional<PassedChanges> passed) mutable {
        if (passed) {
          passed->age += this->Lateness(sent_at, state::Duration(0));
        }
        if (passed && this->IsUsableSnapshot(*passed, choice.accepts_stale)) {
          RoutingBatch batch = this->ToBatch(*passed);
          this->history.RecordSnapshot(batch, this->clock.Now());
          handler(std::move(batch));
          return;
        }
        this->LeaveOut(choice.watcher.id, passed);
        if (this->HasSourceJustFailed(this->clock.Now()) &&
            !choice.accepts_stale) {
          this->ReadAll(std::move(handler));
        } else {
          this->ReadSource(std::move(handler));
        }
      });
}

void SharedSource::WatchSource(const state::SourcePosition& after,
                               state::Duration wait,
                               RoutingBatchHandler handler) {
  ++this->source_calls;
  const state::TimePoint sent_at = this->clock.Now();
  const state::Duration source_wait = this->SourceWait(wait);
  this->source.Watch(
      after, source_wait,
      [this, after, sent_at, source_wait, handler = std::move(handler)](
          state::Result<RoutingBatch, SourceFailure> result) {
        const state::TimePoint now = this->clock.Now();
        this->OnSourceResult(result, now);
        if (!state::IsOk(result)) {
          handler(std::move(result));
          return;
        }
        RoutingBatch batch = state::TakeValue(std::move(result));
        batch.age = this->Lateness(sent_at, source_wait);
        this->RecordPosition(batch.position);
        this->history.RecordChanges(after, batch, now);
        handler(std::move(batch));
      });
}

state::Duration SharedSource::SourceWait(state::Duration wait) const {
  const bool has_followers = this->roster.MayHaveFollowers(this->clock.Now());
  const state::Duration longest =
      has_followers ? std::min(wait, kWatcherWait) : wait;
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->follows_source ? longest : std::min(longest, kFirstSourceWait);
}

void SharedSource::Watch(const state::SourcePosition& after,
                         state::Duration wait, RoutingBatchHandler handler) {
  const std::optional<Choice> choice = this->ChooseWatcher(this->clock.Now());
  if (!choice) {
    this->WatchSource(after, wait, std::move(handler));
    return;
  }
  ++this->watcher_calls;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->follows_source = false;
  }
  const state::TimePoint sent_at = this->clock.Now();
  const state::Duration follower_wait = this->FollowerWait(sent_at);
  this->link.FollowChanges(
      choice->watcher.endpoint, after, follower_wait,
      [this, after, wait, sent_at, follower_wait, choice = *choice,
       handler =
           std::move(handler)](std::optional<PassedChanges> passed) mutable {
        const state::TimePoint now = this->clock.Now();
        if (passed) {
          passed->age += this->Lateness(sent_at, follower_wait);
          this->RecordWatcherAge(passed->age, now);
        }
        const bool is_usable = passed && !passed->is_history_gone &&
                               (passed->age <= kMaxAge || choice.accepts_stale);
        if (is_usable) {
          RoutingBatch batch = this->ToBatch(*passed);
          this->history.RecordChanges(after, batch, now);
          handler(std::move(batch));
          return;
        }
        if (passed && passed->position.era > after.era) {
          handler(SourceFailure::kEraChanged);
          return;
        }
        this->LeaveOut(choice.watcher.id, passed);
        if (!passed) this->roster.Suspect(choice.watcher.id, now);
        const bool has_other = !passed || (this->HasSourceJustFailed(now) &&
                                           !choice.accepts_stale);
        if (has_other) {
          this->Watch(after, wait, std::move(handler));
        } else {
          this->WatchSource(after, wait, std::move(handler));
        }
      });
}

state::Duration SharedSource::FollowerWait(state::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->watcher_heard_at == state::TimePoint::min()) return kFollowerWait;
  const state::Duration left = this->watcher_heard_at + kMaxAge - now;
  return std::clamp(left, kMinFollowerWait, kFollowerWait);
}

void SharedSource::RecordWatcherAge(state::Duration age, state::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->watcher_heard_at = now - age;
}

void SharedSource::CollectMetrics(std::vector<MetricSample>& samples) const {
  const auto add = [&samples](const char* name, const char* help,
                              double value) {
    samples.push_back({name, help, MetricKind::kCounter, {}, value});
  };
  add("banyanknot_relay_source_calls_total",
      "Reads and watches at the source of published changes.",
      static_cast<double>(this->source_calls));
  add("banyanknot_relay_watcher_calls_total",
      "Waits for published changes at other hosts.",
      static_cast<double>(this->watcher_calls));
  add("banyanknot_relay_watchers_left_out_total",
      "Times that another host was silent or out of date.",
      static_cast<double>(this->watchers_left_out));
}

}  // namespace banyanknot::coordination
