#ifndef BANYANKNOT_STATE_QUERY_COUNTERS_H_
#define BANYANKNOT_STATE_QUERY_COUNTERS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>

#include "banyanknot/state/outcome.h"
#include "banyanknot/state/reply_verdict.h"

namespace banyanknot::state {

/// \brief Event counts of queries.
struct QueryCounts {
  std::array<std::uint64_t, kReplyVerdictNames.size()> verdicts{};
  std::array<std::uint64_t, kOutcomeNames.size()> outcomes{};
  std::uint64_t first_attempts = 0;
  std::uint64_t hedges = 0;
  std::uint64_t retries = 0;
  std::uint64_t snapshot_changes = 0;  ///< restarts on another snapshot

  std::uint64_t& Of(ReplyVerdict verdict) {
    return this->verdicts[static_cast<std::size_t>(verdict)];
  }
  std::uint64_t Of(ReplyVerdict verdict) const {
    return this->verdicts[static_cast<std::size_t>(verdict)];
  }
  std::uint64_t& Of(Outcome outcome) {
    return this->outcomes[static_cast<std::size_t>(outcome)];
  }
  std::uint64_t Of(Outcome outcome) const {
    return this->outcomes[static_cast<std::size_t>(outcome)];
  }

  QueryCounts& operator+=(const QueryCounts& other);
};

/// \brief Sums the counts of all queries of this host.
///
/// Thread-safe: shards, each under its own lock; a thread always uses one.
class QueryCounters {
 public:
  void Add(const QueryCounts& counts);
  QueryCounts Total() const;

 private:
  static constexpr std::size_t kShards = 16;
  struct Shard {
    mutable std::mutex mutex;
    QueryCounts counts;
  };

  std::array<Shard, kShards> shards;
};

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_QUERY_COUNTERS_H_
