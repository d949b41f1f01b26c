#ifndef BANYANKNOT_COORDINATION_ROUTING_SLIDING_COUNT_H_
#define BANYANKNOT_COORDINATION_ROUTING_SLIDING_COUNT_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Counts events of the last ten seconds. Not thread-safe.
class SlidingCount {
 public:
  void Add(state::TimePoint now);
  std::uint32_t Total(state::TimePoint now);

 private:
  static constexpr std::size_t kBuckets = 21;
  static constexpr state::Duration kBucketLength = state::Milliseconds(500);

  void Advance(state::TimePoint now);

  std::array<std::uint16_t, kBuckets> counts{};
  std::int64_t newest = 0;  // number of the most recent bucket
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_SLIDING_COUNT_H_
