#ifndef BANYANKNOT_COORDINATION_QUERY_SHARD_TASK_H_
#define BANYANKNOT_COORDINATION_QUERY_SHARD_TASK_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "banyanknot/coordination/query/shard_map.h"
#include "banyanknot/state/key_range.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief A time that is never reached: the timer is not set.
inline constexpr state::TimePoint kNever = state::TimePoint::max();

/// \brief Maximum attempts of one task, hedges and retries included.
inline constexpr std::size_t kMaxAttemptsPerTask = 6;

/// \brief Progress of a shard task.
enum class ShardTaskState {
  kOpen,       ///< has open attempts, or another attempt is due
  kDone,       ///< answered, or replaced by other tasks
  kExhausted,  ///< no further attempt is possible
};

/// \brief Fetches a key range of one shard for a query, in several attempts.
struct ShardTask {
  state::KeyRange range;
  const ShardMap* map = nullptr;
  const MappedShard* shard = nullptr;
  ShardTaskState task_state = ShardTaskState::kOpen;
  std::uint64_t tried = 0;  ///< bit set of replicas that got an attempt
  std::array<std::uint32_t, kMaxAttemptsPerTask> attempts{};
  std::uint8_t attempt_count = 0;
  std::uint8_t open_count = 0;     ///< attempts without a result
  std::uint8_t backoff_count = 0;  ///< doublings of the next backoff delay
  bool has_retry_budget = false;   ///< token of the next attempt is consumed
  bool awaits_catalogue = false;   ///< a server lacks the shard as mapped
  state::TimePoint hedge_at = kNever;
  state::TimePoint timeout_at = kNever;
  state::TimePoint retry_at = kNever;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_SHARD_TASK_H_
