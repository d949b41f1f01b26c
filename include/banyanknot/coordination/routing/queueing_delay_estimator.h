#ifndef BANYANKNOT_COORDINATION_ROUTING_QUEUEING_DELAY_ESTIMATOR_H_
#define BANYANKNOT_COORDINATION_ROUTING_QUEUEING_DELAY_ESTIMATOR_H_

#include "banyanknot/coordination/routing/queued_request.h"
#include "banyanknot/state/identifier.h"

namespace banyanknot::coordination {

/// \brief How long a request would wait for room at a service.
struct QueueingDelayEstimate {
  state::Duration delay{0};             ///< until its turn
  state::Duration dequeue_interval{0};  ///< from one turn to the next
};

/// \brief Foretells waits for room.
class QueueingDelayEstimator {
 public:
  virtual ~QueueingDelayEstimator() = default;

  /// \brief The wait of `waiter` if it joined the line now; zero where nothing
  /// is known.
  virtual QueueingDelayEstimate EstimateDelay(
      const state::ServiceId& service, const QueuedRequest& request) const = 0;
};

/// \brief Foretells nothing: whoever finds no room waits until its time is up.
/// The baseline of measurements.
class NullQueueingDelayEstimator : public QueueingDelayEstimator {
 public:
  QueueingDelayEstimate EstimateDelay(
      const state::ServiceId& /*service*/,
      const QueuedRequest& /*waiter*/) const override {
    return {};
  }
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_QUEUEING_DELAY_ESTIMATOR_H_
