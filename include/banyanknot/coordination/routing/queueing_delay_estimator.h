#ifndef BANYANKNOT_COORDINATION_ROUTING_QUEUEING_DELAY_ESTIMATOR_H_
#define BANYANKNOT_COORDINATION_ROUTING_QUEUEING_DELAY_ESTIMATOR_H_

#include "banyanknot/coordination/routing/queued_request.h"
#include "banyanknot/state/identifier.h"

namespace banyanknot::coordination {

/// \brief How long a request would be queued for capacity at a service.
struct QueueingDelayEstimate {
  state::Duration delay{0};             ///< until it is dequeued
  state::Duration dequeue_interval{0};  ///< between two dequeued requests
};

/// \brief Estimates how long requests will be queued for capacity.
class QueueingDelayEstimator {
 public:
  virtual ~QueueingDelayEstimator() = default;

  /// \brief Returns the estimate for `request` if it were enqueued now; zero if
  /// nothing is known.
  virtual QueueingDelayEstimate EstimateDelay(
      const state::ServiceId& service, const QueuedRequest& request) const = 0;
};

/// \brief Estimates nothing, so requests without capacity are queued until
/// their deadline. Baseline for measurements.
class NullQueueingDelayEstimator : public QueueingDelayEstimator {
 public:
  QueueingDelayEstimate EstimateDelay(
      const state::ServiceId& /*service*/,
      const QueuedRequest& /*request*/) const override {
    return {};
  }
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_QUEUEING_DELAY_ESTIMATOR_H_
