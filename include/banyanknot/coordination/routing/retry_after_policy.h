#ifndef BANYANKNOT_COORDINATION_ROUTING_RETRY_AFTER_POLICY_H_
#define BANYANKNOT_COORDINATION_ROUTING_RETRY_AFTER_POLICY_H_

#include "banyanknot/coordination/random_source.h"
#include "banyanknot/coordination/routing/queueing_delay_estimator.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Decides after what time rejected callers should retry.
class RetryAfterPolicy {
 public:
  virtual ~RetryAfterPolicy() = default;

  /// \param service the service without capacity or usable server
  /// \param estimate the caller's queueing delay estimate there
  virtual state::Duration RetryAfter(const state::ServiceId& service,
                                     const QueueingDelayEstimate& estimate,
                                     state::TimePoint now) = 0;
};

/// \brief Spreads retries at random over a short time, independent of load.
/// Baseline for measurements.
class JitteredRetryAfter : public RetryAfterPolicy {
 public:
  explicit JitteredRetryAfter(RandomSource& random) : random(random) {}
  state::Duration RetryAfter(const state::ServiceId& service,
                             const QueueingDelayEstimate& estimate,
                             state::TimePoint now) override;

 private:
  RandomSource& random;
};

/// \brief Assigns each rejected caller its own slot, spaced at the service's
/// dequeue interval, first rejected first.
///
/// Meant for bursts beyond capacity: callers that all retry soon are rejected
/// again and again. Thread-safe.
class PacedRetryAfter : public RetryAfterPolicy {
 public:
  explicit PacedRetryAfter(RandomSource& random) : jittered(random) {}
  state::Duration RetryAfter(const state::ServiceId& service,
                             const QueueingDelayEstimate& estimate,
                             state::TimePoint now) override;

 private:
  JitteredRetryAfter jittered;  // used without an estimate
  state::ShardedTable<state::ServiceId, state::TimePoint> last_slots;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RETRY_AFTER_POLICY_H_
