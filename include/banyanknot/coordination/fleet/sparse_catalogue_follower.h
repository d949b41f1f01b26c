#ifndef BANYANKNOT_COORDINATION_FLEET_SPARSE_CATALOGUE_FOLLOWER_H_
#define BANYANKNOT_COORDINATION_FLEET_SPARSE_CATALOGUE_FOLLOWER_H_

#include <atomic>
#include <cstdint>
#include <mutex>

#include "banyanknot/coordination/catalogue_follower.h"
#include "banyanknot/coordination/catalogue_sink.h"
#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/configuration_source.h"
#include "banyanknot/coordination/fleet/contact_log.h"
#include "banyanknot/coordination/membership_view.h"
#include "banyanknot/coordination/random_source.h"
#include "banyanknot/coordination/timer_service.h"
#include "banyanknot/coordination/view_refresher.h"
#include "banyanknot/state/catalogue_table.h"

namespace banyanknot::coordination {

/// \brief Follows the platform from a few hosts of each failure domain.
///
/// Thread-safe. The hosts that rank first by rendezvous hashing keep a
/// long-poll watch open. The others learn changes from their peers and poll at
/// long intervals, so that an isolated host still follows. Failed calls are
/// retried with jittered backoff, so that the end of an outage brings no burst.
class SparseCatalogueFollower : public CatalogueFollower, public ViewRefresher {
 public:
  SparseCatalogueFollower(const Clock& clock, TimerService& timers,
                          RandomSource& random, ConfigurationSource& source,
                          CatalogueSink& intake,
                          const state::CatalogueTable& table,
                          const MembershipView& view, ContactLog& contacts);

  void Start() override;
  bool HasSynced() const override { return this->has_read; }

  /// \brief Reads from the platform immediately; rate-limited.
  void Refresh() override;

  /// \brief Returns whether this host ranks among those that keep a watch open.
  bool IsWatcher() const;

 private:
  void ScheduleTick();
  void Tick();
  bool TryBeginWatch(state::TimePoint now);
  bool TryBeginRead(state::TimePoint now);
  /// \brief Returns the revision up to which the platform told all changes.
  std::uint64_t Cursor();
  void StartWatch();
  void StartRead();
  void OnWatched(state::TimePoint asked_at, const RawUpdateResult& result);
  bool ApplyResult(state::TimePoint asked_at, const RawUpdateResult& result);
  void ScheduleNextWatch(state::TimePoint asked_at, bool is_ok,
                         bool has_changes);
  state::Duration RandomBetween(state::Duration low, state::Duration high);

  const Clock& clock;
  TimerService& timers;
  RandomSource& random;
  ConfigurationSource& source;
  CatalogueSink& intake;
  const state::CatalogueTable& table;
  const MembershipView& view;
  ContactLog& contacts;
  std::atomic<bool> has_read{false};
  std::atomic<state::Duration::rep> refreshed_at{0};
  std::mutex mutex;          // guards what follows
  std::uint64_t cursor = 0;  // all changes up to it came from the platform
  bool is_watching = false;
  state::TimePoint next_watch_at;  // earliest start of the next watch
  state::TimePoint next_read_at;   // when the next poll is due
  state::Duration backoff{0};      // after the latest failure; 0 if none
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_FLEET_SPARSE_CATALOGUE_FOLLOWER_H_
