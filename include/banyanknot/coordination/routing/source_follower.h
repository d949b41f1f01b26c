#ifndef BANYANKNOT_COORDINATION_ROUTING_SOURCE_FOLLOWER_H_
#define BANYANKNOT_COORDINATION_ROUTING_SOURCE_FOLLOWER_H_

#include <atomic>
#include <cstdint>
#include <optional>
#include <vector>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/event_log.h"
#include "banyanknot/coordination/metric_source.h"
#include "banyanknot/coordination/random_source.h"
#include "banyanknot/coordination/routing/routing_intake.h"
#include "banyanknot/coordination/routing/routing_source.h"
#include "banyanknot/coordination/timer_service.h"
#include "banyanknot/coordination/workspace/configuration_age.h"
#include "banyanknot/state/routing/source_position.h"

namespace banyanknot::coordination {

/// \brief Follows a RoutingSource: reads a snapshot, then watches for changes;
/// reads a new snapshot when its revision has been compacted.
///
/// Retries use backoff with jitter, so that hosts which lost the source
/// together don't return in step. After Start(), callbacks run one after the
/// other, so the intake gets one batch at a time.
class SourceFollower : public ConfigurationAge, public MetricSource {
 public:
  /// \param contact_timeout maximum time to detect a source that stops
  ///     responding
  SourceFollower(const Clock& clock, TimerService& timers, RandomSource& random,
                 RoutingSource& source, RoutingIntake& intake, EventLog& log,
                 state::Duration contact_timeout);

  void Start();
  /// \brief Returns true once a snapshot has been read; false again while a new
  /// one is needed.
  bool HasRead() const { return this->has_read; }

  std::optional<state::Duration> Age(state::TimePoint now) const override;
  void CollectMetrics(std::vector<MetricSample>& samples) const override;

 private:
  void ReadAll();
  void OnReadAll(const state::Result<RoutingBatch, SourceFailure>& result);
  /// \param unheard time since the source was last asked, without a call open
  void Watch(state::Duration unheard = state::Duration(0));
  void OnWatched(const state::Result<RoutingBatch, SourceFailure>& result);
  void OnFailure(SourceFailure failure);
  void OnSuccess(const RoutingBatch& batch);
  RemovalMode RemovalModeOf(const RoutingBatch& batch) const;
  /// \brief Logs and counts a change of the source's era.
  void RecordEraChange(const state::SourcePosition& next);
  void SetPosition(const state::SourcePosition& next);

  const Clock& clock;
  TimerService& timers;
  RandomSource& random;
  RoutingSource& source;
  RoutingIntake& intake;
  EventLog& log;
  const state::Duration watch_wait;
  bool has_position = false;
  state::SourcePosition position;
  std::atomic<std::uint64_t> known_revision{0};  // of `position`, for metrics
  std::atomic<std::uint64_t> known_era{0};
  std::atomic<std::uint64_t> era_changes{0};
  std::atomic<bool> has_read{false};
  bool is_lost = false;  // the last call failed
  unsigned failures = 0;
  state::TimePoint lost_at;
  std::atomic<state::TimePoint> heard_at{state::TimePoint::min()};
  state::TimePoint regained_at = state::TimePoint::min();
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_SOURCE_FOLLOWER_H_
