#include "banyanknot/coordination/delegation/change_history.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace banyanknot::coordination {
namespace {

/// As long as the source's followers defer removals themselves.
constexpr state::Duration kDeferredRemovalWindow = state::Milliseconds(2'500);

}  // namespace

void ChangeHistory::RecordSnapshot(const RoutingBatch& snapshot,
                                   state::TimePoint now) {
  std::vector<Waiter> notified;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->has_snapshot = true;
    this->confirmed_at = now;
    this->position = snapshot.position;
    this->oldest_revision = snapshot.position.revision;
    this->batches.clear();
    this->batch_bytes = 0;
    this->present.clear();
    for (const EncodedChange& change : snapshot.encoded) {
      this->present[change.key] = change.text;
    }
    notified = this->TakeWaiters();
  }
  for (const Waiter& waiter : notified) {
    const std::shared_ptr<std::function<void()>> handler =
        waiter.handler.lock();
    if (handler != nullptr) (*handler)();
  }
}

void ChangeHistory::RecordChanges(const RoutingBatch& batch,
                                  state::TimePoint now) {
  std::vector<Waiter> notified;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->confirmed_at = now;
    if (batch.encoded.empty()) {
      // Irrelevant changes only: followers need not hear of the revision.
      return;
    }
    Batch added;
    added.revision = std::max(batch.position.revision, this->position.revision);
    added.changes = batch.encoded;
    for (const EncodedChange& change : batch.encoded) {
      added.bytes += change.key.size() + change.text.size();
      if (change.is_removal) {
        this->present.erase(change.key);
      } else {
        this->present[change.key] = change.text;
      }
    }
    this->position.revision = added.revision;
    this->batch_bytes += added.bytes;
    this->batches.push_back(std::move(added));
    this->Trim();
    notified = this->TakeWaiters();
  }
  for (const Waiter& waiter : notified) {
    const std::shared_ptr<std::function<void()>> handler =
        waiter.handler.lock();
    if (handler != nullptr) (*handler)();
  }
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
  passed.age = now - this->confirmed_at;
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
