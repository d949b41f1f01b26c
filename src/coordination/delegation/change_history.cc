#include "banyanknot/coordination/delegation/change_history.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace banyanknot::coordination {
namespace {

/// As long as the source's followers defer removals themselves.
constexpr state::Duration kDeferredRemovalWindow = state::Milliseconds(2'500);

}  // namespace

void ChangeHistory::Notify(const std::vector<Waiter>& waiters) {
  for (const Waiter& waiter : waiters) {
    const std::shared_ptr<std::function<void()>> handler =
        waiter.handler.lock();
    if (handler != nullptr) (*handler)();
  }
}

void ChangeHistory::RecordSnapshot(const RoutingBatch& snapshot,
                                   state::TimePoint now) {
  std::vector<Waiter> notified;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->Confirm(snapshot, now);
    this->has_snapshot = true;
    this->position = snapshot.position;
    this->known_revision = snapshot.position.revision;
    this->oldest_revision = snapshot.position.revision;
    this->batches.clear();
    this->batch_bytes = 0;
    this->present.clear();
    for (const EncodedChange& change : snapshot.encoded) {
      this->present[change.key] = change.text;
    }
    notified = this->TakeWaiters();
  }
  Notify(notified);
}

void ChangeHistory::RecordChanges(const state::SourcePosition& after,
                                  const RoutingBatch& batch,
                                  state::TimePoint now) {
  std::vector<Waiter> notified;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->Confirm(batch, now);
    if (!this->ContinuesFrom(after, batch)) {
      this->Forget();
      return;
    }
    this->Append(batch);
    this->known_revision =
        std::max(this->known_revision, batch.position.revision);
    this->Trim();
    notified = this->TakeWaiters();
  }
  Notify(notified);
}

void ChangeHistory::Confirm(const RoutingBatch& batch, state::TimePoint now) {
  if (batch.is_passed_on) return;
  const state::TimePoint said_at = now - batch.age;
  this->confirmed_at = std::max(this->confirmed_at.value_or(said_at), said_at);
}

bool ChangeHistory::ContinuesFrom(const state::SourcePosition& after,
                                  const RoutingBatch& batch) const {
  return this->has_snapshot && after.era == this->position.era &&
         batch.position.era == this->position.era &&
         after.revision <= this->known_revision;
}

void ChangeHistory::Append(const RoutingBatch& batch) {
  Batch added;
  for (const EncodedChange& change : batch.encoded) {
    if (change.revision <= this->known_revision) continue;
    added.changes.push_back(change);
    added.bytes += change.key.size() + change.text.size();
    if (change.is_removal) {
      this->present.erase(change.key);
    } else {
      this->present[change.key] = change.text;
    }
  }
  // Of irrelevant changes alone followers need not hear.
  if (added.changes.empty()) return;
  added.revision = batch.position.revision;
  this->position.revision = added.revision;
  this->batch_bytes += added.bytes;
  this->batches.push_back(std::move(added));
}

void ChangeHistory::Forget() {
  this->has_snapshot = false;
  this->present.clear();
  this->batches.clear();
  this->batch_bytes = 0;
}

void ChangeHistory::Trim() {
  while (this->batches.size() > kMaxBatches ||
         (this->batch_bytes > kMaxBytes && this->batches.size() > 1)) {
    this->oldest_revision = this->batches.front().revision;
    this->batch_bytes -= this->batches.front().bytes;
    this->batches.pop_front();
  }
}

std::vector<ChangeHistory::Waiter> ChangeHistory::TakeWaiters() {
  std::vector<Waiter> due;
  std::vector<Waiter> others;
  for (Waiter& waiter : this->waiters) {
    if (waiter.handler.expired()) continue;
    (waiter.after < this->position ? due : others).push_back(std::move(waiter));
  }
  this->waiters = std::move(others);
  return due;
}

void ChangeHistory::RecordReturn(state::TimePoint now) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->returned_at = now;
}

PassedChanges ChangeHistory::Header(state::TimePoint now) const {
  PassedChanges passed;
  passed.position = this->position;
  passed.age = this->confirmed_at ? now - *this->confirmed_at : kUnconfirmedAge;
  passed.defers_removals = this->returned_at != state::TimePoint::min() &&
                           now - this->returned_at < kDeferredRemovalWindow;
  return passed;
}

PassedChanges ChangeHistory::After(const state::SourcePosition& after,
                                   state::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  PassedChanges passed = this->Header(now);
  passed.is_history_gone = !this->has_snapshot ||
                           after.era != this->position.era ||
                           after.revision < this->oldest_revision;
  if (passed.is_history_gone) return passed;
  for (const Batch& batch : this->batches) {
    if (batch.revision <= after.revision) continue;
    std::copy_if(batch.changes.begin(), batch.changes.end(),
                 std::back_inserter(passed.changes),
                 [&after](const EncodedChange& change) {
                   return change.revision > after.revision;
                 });
  }
  return passed;
}

PassedChanges ChangeHistory::Snapshot(state::TimePoint now) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  PassedChanges passed = this->Header(now);
  passed.is_snapshot = this->has_snapshot;
  passed.is_history_gone = !this->has_snapshot;
  for (const auto& [key, text] : this->present) {
    passed.changes.push_back({key, text, false, this->position.revision});
  }
  return passed;
}

void ChangeHistory::NotifyAfter(
    const state::SourcePosition& after,
    const std::shared_ptr<std::function<void()>>& handler) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->position <= after) {
      this->waiters.push_back({after, handler});
      return;
    }
  }
  (*handler)();
}

}  // namespace banyanknot::coordination
