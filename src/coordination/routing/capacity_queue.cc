#include "banyanknot/coordination/routing/capacity_queue.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

/// The newest interval has a weight of 1/8 in the moving average.
constexpr int kAverageDivisor = 8;

bool IsLessUrgent(const QueuedRequest& left, const QueuedRequest& right) {
  if (left.priority != right.priority) return left.priority > right.priority;
  return left.deadline > right.deadline;
}

}  // namespace

bool CapacityQueue::Enqueue(const state::ServiceId& service,
                            const QueuedRequest& request,
                            state::TimePoint now) {
  return this->queues.Update(service, [&](ServiceQueue& queue) {
    if (queue.requests.size() >= this->max_queued) return false;
    if (queue.requests.empty()) queue.last_dequeue_at = now;
    queue.requests.push_back(request);
    return true;
  });
}

std::optional<QueuedRequest> CapacityQueue::Dequeue(
    const state::ServiceId& service, state::TimePoint now) {
  std::optional<QueuedRequest> next;
  this->queues.UpdateIfPresent(service, [&](ServiceQueue& queue) {
    std::vector<QueuedRequest>& requests = queue.requests;
    requests.erase(std::remove_if(requests.begin(), requests.end(),
                                  [now](const QueuedRequest& request) {
                                    return request.deadline <= now;
                                  }),
                   requests.end());
    const auto first =
        std::max_element(requests.begin(), requests.end(), IsLessUrgent);
    if (first == requests.end()) return;
    const state::Duration newest = now - queue.last_dequeue_at;
    queue.dequeue_interval =
        queue.dequeue_interval.count() == 0
            ? newest
            : queue.dequeue_interval +
                  (newest - queue.dequeue_interval) / kAverageDivisor;
    queue.last_dequeue_at = now;
    next = *first;
    requests.erase(first);
  });
  return next;
}

QueueingDelayEstimate CapacityQueue::EstimateDelay(
    const state::ServiceId& service, const QueuedRequest& request) const {
  QueueingDelayEstimate estimate;
  this->queues.ReadIfPresent(service, [&](const ServiceQueue& queue) {
    if (queue.requests.empty()) return;
    const std::int64_t ahead =
        std::count_if(queue.requests.begin(), queue.requests.end(),
                      [&request](const QueuedRequest& other) {
                        return !IsLessUrgent(other, request);
                      });
    estimate.dequeue_interval = queue.dequeue_interval;
    estimate.delay = queue.dequeue_interval * (ahead + 1);
  });
  return estimate;
}

}  // namespace banyanknot::coordination
