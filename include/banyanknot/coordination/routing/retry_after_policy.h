#ifndef BANYANKNOT_COORDINATION_ROUTING_RETRY_AFTER_POLICY_H_
#define BANYANKNOT_COORDINATION_ROUTING_RETRY_AFTER_POLICY_H_

#include "banyanknot/coordination/random_source.h"
#include "banyanknot/coordination/routing/queueing_delay_estimator.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Tells callers that were turned away when to come back.
class RetryAfterPolicy {
 public:
  virtual ~RetryAfterPolicy() = default;

  /// \param service at which there was no room, or nobody to ask
  /// \param expected what was foretold for the caller there
  /// \returns how long it should stay away
  virtual state::Duration RetryAfter(const state::ServiceId& service,
                                     const QueueingDelayEstimate& estimate,
                                     state::TimePoint now) = 0;
};

/// \brief Spreads returns over a short time, whatever the load. The baseline
/// of measurements.
class JitteredRetryAfter : public RetryAfterPolicy {
 public:
  explicit JitteredRetryAfter(RandomSource& random) : random(random) {}
  state::Duration RetryAfter(const state::ServiceId& service,
                             const QueueingDelayEstimate& estimate,
                             state::TimePoint now) override;

 private:
  RandomSource& random;
};

/// \brief Gives each caller a turn of its own, one after the other at the pace
/// at which room comes.
///
/// Thread-safe. Answers a burst of more than can be served: callers who all
/// come back soon are turned away again and again. Who was turned away first
/// returns first.
class PacedRetryAfter : public RetryAfterPolicy {
 public:
  explicit PacedRetryAfter(RandomSource& random) : jittered(random) {}
  state::Duration RetryAfter(const state::ServiceId& service,
                             const QueueingDelayEstimate& estimate,
                             state::TimePoint now) override;

 private:
  JitteredRetryAfter jittered;  // where nothing was foretold
  state::ShardedTable<state::ServiceId, state::TimePoint> next_slots;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RETRY_AFTER_POLICY_H_
