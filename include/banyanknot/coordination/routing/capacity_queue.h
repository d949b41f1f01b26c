#ifndef BANYANKNOT_COORDINATION_ROUTING_CAPACITY_QUEUE_H_
#define BANYANKNOT_COORDINATION_ROUTING_CAPACITY_QUEUE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "banyanknot/coordination/routing/queueing_delay_estimator.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Queues requests for services without free capacity, by priority and
/// then earliest deadline first.
///
/// Urgent requests overtake others that came earlier. Queueing delays are
/// estimated from the recent dequeue intervals. Thread-safe.
class CapacityQueue : public QueueingDelayEstimator {
 public:
  /// Per service; far more than can be served before their deadlines.
  static constexpr std::size_t kMaxQueuedRequests = 64;

  /// \param max_queued maximum for each service
  explicit CapacityQueue(std::size_t max_queued = kMaxQueuedRequests)
      : max_queued(max_queued) {}

  /// \returns false if the queue is full
  bool Enqueue(const state::ServiceId& service, const QueuedRequest& request,
               state::TimePoint now);
  /// \brief Removes the most urgent request that is not past its deadline.
  std::optional<QueuedRequest> Dequeue(const state::ServiceId& service,
                                       state::TimePoint now);

  QueueingDelayEstimate EstimateDelay(
      const state::ServiceId& service,
      const QueuedRequest& request) const override;

 private:
  struct ServiceQueue {
    std::vector<QueuedRequest> requests;
    state::TimePoint last_dequeue_at;  // or first enqueued
    // Moving average; 0 before the first request is dequeued.
    state::Duration dequeue_interval{0};
  };

  const std::size_t max_queued;
  state::ShardedTable<state::ServiceId, ServiceQueue> queues;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_CAPACITY_QUEUE_H_
