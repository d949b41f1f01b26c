#include "slot_table.h"

#include <algorithm>
#include <utility>

namespace banyanknot::standins {

std::uint32_t SlotTable::InProgress(std::uint64_t generation) const {
  std::uint32_t count = 0;
  for (const auto& [request, job] : this->jobs) {
    if (job->generation == generation) ++count;
  }
  return count;
}

void SlotTable::Enqueue(std::shared_ptr<Job> job) {
  this->queue.push_back(job);
  const state::RequestId request = job->request.request;
  this->jobs.emplace(request, std::move(job));
}

std::shared_ptr<Job> SlotTable::StartNext(std::uint32_t slots) {
  if (this->running >= slots || this->queue.empty()) return nullptr;
  std::shared_ptr<Job> job = std::move(this->queue.front());
  this->queue.pop_front();
  job->is_running = true;
  ++this->running;
  return job;
}

bool SlotTable::Finish(const std::shared_ptr<Job>& job) {
  const auto [begin, end] = this->jobs.equal_range(job->request.request);
  const auto found = std::find_if(
      begin, end, [&job](const auto& entry) { return entry.second == job; });
  if (found == end) return false;
  this->jobs.erase(found);
  if (job->is_running) {
    --this->running;
  } else {
    this->queue.erase(std::find(this->queue.begin(), this->queue.end(), job));
  }
  return true;
}

std::shared_ptr<Job> SlotTable::Find(const state::RequestId& request,
                                     std::uint32_t attempt) const {
  const auto [begin, end] = this->jobs.equal_range(request);
  const auto found = std::find_if(begin, end, [attempt](const auto& entry) {
    return entry.second->request.attempt == attempt;
  });
  return found == end ? nullptr : found->second;
}

}  // namespace banyanknot::standins
