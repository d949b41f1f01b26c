#include "banyanknot/coordination/routing/sliding_count.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace banyanknot::coordination {

void SlidingCount::Advance(state::TimePoint now) {
  const std::int64_t bucket = now.time_since_epoch() / kBucketLength;
  const std::int64_t steps = std::min<std::int64_t>(
      bucket - this->newest, static_cast<std::int64_t>(kBuckets));
  for (std::int64_t step = 0; step < steps; ++step) {
    const std::int64_t cleared = bucket - step;
    this->counts[static_cast<std::size_t>(cleared) % kBuckets] = 0;
  }
  this->newest = std::max(this->newest, bucket);
}

void SlidingCount::Add(state::TimePoint now) {
  this->Advance(now);
  std::uint16_t& count =
      this->counts[static_cast<std::size_t>(this->newest) % kBuckets];
  if (count < std::numeric_limits<std::uint16_t>::max()) ++count;
}

std::uint32_t SlidingCount::Total(state::TimePoint now) {
  this->Advance(now);
  return std::accumulate(this->counts.begin(), this->counts.end(),
                         std::uint32_t{0});
}

}  // namespace banyanknot::coordination
