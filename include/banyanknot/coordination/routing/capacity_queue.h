#ifndef BANYANKNOT_COORDINATION_ROUTING_CAPACITY_QUEUE_H_
#define BANYANKNOT_COORDINATION_ROUTING_CAPACITY_QUEUE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "banyanknot/coordination/routing/queueing_delay_estimator.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Requests that wait for room, by service; the most urgent goes first.
///
/// Thread-safe. Answers a service whose servers are all taken: what is urgent
/// passes what is not, whatever came first. Learns from the turns that it
/// gives how long the next ones will wait.
class CapacityQueue : public QueueingDelayEstimator {
 public:
  /// Waiters of one service; far more than can be served before they are due.
  static constexpr std::size_t kMaxQueuedRequests = 64;

  /// \param most waiters that a service may have
  explicit CapacityQueue(std::size_t max_queued = kMaxQueuedRequests)
      : max_queued(max_queued) {}

  /// \returns false if the line is full
  bool Enqueue(const state::ServiceId& service, const QueuedRequest& request,
               state::TimePoint now);
  /// \brief Takes the most urgent waiter that is not past its time.
  std::optional<QueuedRequest> Dequeue(const state::ServiceId& service,
                                       state::TimePoint now);

  QueueingDelayEstimate EstimateDelay(
      const state::ServiceId& service,
      const QueuedRequest& request) const override;

 private:
  struct ServiceQueue {
    std::vector<QueuedRequest> requests;
    state::TimePoint last_dequeue_at;  // or when the first waiter came
    state::Duration dequeue_interval{
        0};  // moving average; 0 before the first turn
  };

  const std::size_t max_queued;
  state::ShardedTable<state::ServiceId, ServiceQueue> queues;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_CAPACITY_QUEUE_H_
