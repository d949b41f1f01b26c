#include "banyanknot/state/query_counters.h"

#include <functional>
#include <thread>

namespace banyanknot::state {

QueryCounts& QueryCounts::operator+=(const QueryCounts& other) {
  for (std::size_t index = 0; index < this->verdicts.size(); ++index) {
    this->verdicts[index] += other.verdicts[index];
  }
  for (std::size_t index = 0; index < this->outcomes.size(); ++index) {
    this->outcomes[index] += other.outcomes[index];
  }
  this->first_attempts += other.first_attempts;
  this->hedges += other.hedges;
  this->retries += other.retries;
  this->snapshot_changes += other.snapshot_changes;
  return *this;
}

void QueryCounters::Add(const QueryCounts& counts) {
  const std::size_t hash =
      std::hash<std::thread::id>()(std::this_thread::get_id());
  Shard& shard = this->shards[hash % kShards];
  const std::lock_guard<std::mutex> lock(shard.mutex);
  shard.counts += counts;
}

QueryCounts QueryCounters::Total() const {
  QueryCounts total;
  for (const Shard& shard : this->shards) {
    const std::lock_guard<std::mutex> lock(shard.mutex);
    total += shard.counts;
  }
  return total;
}

}  // namespace banyanknot::state
