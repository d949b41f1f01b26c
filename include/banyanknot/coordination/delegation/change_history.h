#ifndef BANYANKNOT_COORDINATION_DELEGATION_CHANGE_HISTORY_H_
#define BANYANKNOT_COORDINATION_DELEGATION_CHANGE_HISTORY_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "banyanknot/coordination/routing/routing_source.h"
#include "banyanknot/state/routing/source_position.h"

namespace banyanknot::coordination {

/// \brief Published changes as one host passes them on to another.
struct PassedChanges {
  state::SourcePosition position;
  /// Since the passing host last heard from the source itself.
  state::Duration age{0};
  /// The source has just returned: entries that lapsed may be written again.
  bool defers_removals = false;
  bool is_snapshot = false;
  /// The changes asked for are no longer known; a snapshot is needed.
  bool is_history_gone = false;
  std::vector<EncodedChange> changes;
};

/// \brief What this host knows of the source, kept for other hosts.
///
/// Holds all that the host applies, in order, whether the source or another
/// host said so: what is passed on is what the source held at the position that
/// it names. Only the source's own word makes it fresh, so that hosts which
/// hear of each other but not of the source don't keep an old view alive.
/// Bounded in changes and bytes. Thread-safe.
class ChangeHistory {
 public:
  static constexpr std::size_t kMaxBatches = 256;
  static constexpr std::size_t kMaxBytes = 2u << 20;
  /// Age of a history that the source itself never confirmed.
  static constexpr state::Duration kUnconfirmedAge =
      state::Milliseconds(3'600'000);

  /// \brief Records a complete snapshot that came at `now`.
  void RecordSnapshot(const RoutingBatch& snapshot, state::TimePoint now);
  /// \brief Records the changes after the position `after`, if any, of a watch
  /// that ended at `now`. What is older than the last word of the source makes
  /// it no fresher.
  ///
  /// Where other changes are missing before them, nothing is passed on until
  /// the next snapshot.
  void RecordChanges(const state::SourcePosition& after,
                     const RoutingBatch& batch, state::TimePoint now);
  /// \brief Records that the source returned after a failure.
  void RecordReturn(state::TimePoint now);

  /// \brief Returns the changes after a position, oldest first.
  PassedChanges After(const state::SourcePosition& after,
                      state::TimePoint now) const;
  PassedChanges Snapshot(state::TimePoint now) const;

  /// \brief Calls `handler` once with the next change after `after`; at once
  /// if there is one. It is dropped if nothing else holds it.
  void NotifyAfter(const state::SourcePosition& after,
                   const std::shared_ptr<std::function<void()>>& handler);

 private:
  struct Batch {
    std::uint64_t revision = 0;  // in the era of `position`
    std::vector<EncodedChange> changes;
    std::size_t bytes = 0;
  };
  struct Waiter {
    state::SourcePosition after;
    std::weak_ptr<std::function<void()>> handler;
  };

  PassedChanges Header(state::TimePoint now) const;
  void Confirm(const RoutingBatch& batch, state::TimePoint now);
  bool ContinuesFrom(const state::SourcePosition& after,
                     const RoutingBatch& batch) const;
  void Append(const RoutingBatch& batch);
  void Forget();
  void Trim();
  std::vector<Waiter> TakeWaiters();
  /// \brief Calls the handlers that still exist; without the lock.
  static void Notify(const std::vector<Waiter>& waiters);

  mutable std::mutex mutex;
  bool has_snapshot = false;
  state::SourcePosition position;     // of the last relevant change
  std::uint64_t known_revision = 0;   // all changes up to it are known
  std::uint64_t oldest_revision = 0;  // changes after it are known
  std::optional<state::TimePoint> confirmed_at;  // by the source itself
  state::TimePoint returned_at = state::TimePoint::min();
  std::map<std::string, std::string> present;  // text by key
  std::deque<Batch> batches;                   // oldest first
  std::size_t batch_bytes = 0;
  std::vector<Waiter> waiters;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_DELEGATION_CHANGE_HISTORY_H_
