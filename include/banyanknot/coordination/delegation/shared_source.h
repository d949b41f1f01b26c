#ifndef BANYANKNOT_COORDINATION_DELEGATION_SHARED_SOURCE_H_
#define BANYANKNOT_COORDINATION_DELEGATION_SHARED_SOURCE_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/delegation/change_history.h"
#include "banyanknot/coordination/delegation/gatherer_roster.h"
#include "banyanknot/coordination/delegation/host_link.h"
#include "banyanknot/coordination/event_log.h"
#include "banyanknot/coordination/metric_source.h"
#include "banyanknot/coordination/routing/routing_source.h"
#include "banyanknot/state/routing/source_position.h"

namespace banyanknot::coordination {

/// \brief Follows the source through a watcher of this host's failure domain
/// where there is one, and directly otherwise.
///
/// A watcher that doesn't reply, or that has itself not heard from the source
/// for kMaxAge, is left out for a while. An old view is used only where nothing
/// newer can be had: while the source fails and every watcher is left out. All
/// that this host hears, from either, goes into the ChangeHistory, since it may
/// have to take the place of a watcher at any time. Thread-safe.
class SharedSource : public RoutingSource, public MetricSource {
 public:
  /// A watcher's history may be this old: longer than its own wait at the
  /// source, and well within the time in which changes must take effect.
  static constexpr state::Duration kMaxAge = state::Milliseconds(2'600);
  /// How long a host with followers waits at the source.
  static constexpr state::Duration kWatcherWait = state::Milliseconds(2'000);
  /// How long a watcher may keep a follower waiting without a word.
  static constexpr state::Duration kFollowerWait = state::Milliseconds(1'000);

  SharedSource(const Clock& clock, RoutingSource& source, HostLink& link,
               GathererRoster& roster, const ChangeDecoder& decoder,
               ChangeHistory& history, EventLog& log);

  void ReadAll(RoutingBatchHandler handler) override;
  void Watch(const state::SourcePosition& after, state::Duration wait,
             RoutingBatchHandler handler) override;
  void CollectMetrics(std::vector<MetricSample>& samples) const override;

 private:
  /// A watcher to ask in place of the source.
  struct Choice {
    state::HostAdvert watcher;
    bool accepts_stale = false;
  };

  /// Returns nothing if the source is to be asked.
  std::optional<Choice> ChooseWatcher(state::TimePoint now) const;
  void LeaveOut(const state::HostId& host,
                const std::optional<PassedChanges>& passed);
  void ReadSource(RoutingBatchHandler handler);
  void WatchSource(const state::SourcePosition& after, state::Duration wait,
                   RoutingBatchHandler handler);
  RoutingBatch ToBatch(const PassedChanges& passed);
  /// \brief Returns what to add to the age of a response that has just come.
  /// \param sent_at when it was asked for
  /// \param wait how long the other side was allowed to wait
  state::Duration Lateness(state::TimePoint sent_at,
                           state::Duration wait) const;
  void RecordPosition(const state::SourcePosition& position);
  /// \brief Records where the source itself is, even if it has gone back.
  /// \returns true if it is in another era than before
  bool RecordSnapshotPosition(const state::SourcePosition& position);
  bool IsUsableSnapshot(const PassedChanges& passed, bool accepts_stale) const;
  /// \brief Returns how long the source may keep this host waiting.
  state::Duration SourceWait(state::Duration wait) const;
  /// \brief Returns how long a watcher may keep this host waiting, so that
  /// its view is not older than kMaxAge meanwhile.
  state::Duration FollowerWait(state::TimePoint now) const;
  void RecordWatcherAge(state::Duration age, state::TimePoint now);
  void OnSourceResult(const state::Result<RoutingBatch, SourceFailure>& result,
                      state::TimePoint now);
  bool HasSourceJustFailed(state::TimePoint now) const;

  const Clock& clock;
  RoutingSource& source;
  HostLink& link;
  GathererRoster& roster;
  const ChangeDecoder& decoder;
  ChangeHistory& history;
  EventLog& log;
  std::atomic<std::uint64_t> source_calls{0};
  std::atomic<std::uint64_t> watcher_calls{0};
  std::atomic<std::uint64_t> watchers_left_out{0};
  mutable std::mutex mutex;
  std::map<state::HostId, state::TimePoint> left_out_until;
  std::optional<state::TimePoint> source_failed_at;
  bool follows_source = false;  // the last call was to it, and succeeded
  /// When the watcher that replied last had heard from the source.
  state::TimePoint watcher_heard_at = state::TimePoint::min();
  std::optional<state::SourcePosition> newest_position;  // of those heard of
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_DELEGATION_SHARED_SOURCE_H_
