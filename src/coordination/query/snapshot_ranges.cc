#include "coordination/query/snapshot_ranges.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <set>

namespace banyanknot::coordination::internal {
namespace {

bool Contains(const std::vector<std::uint64_t>& values, std::uint64_t value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

bool IsHeldByEachShard(const ShardSnapshots& shards, std::uint64_t snapshot) {
  return std::all_of(shards.begin(), shards.end(),
                     [snapshot](const std::vector<SnapshotRange>& replicas) {
                       return std::any_of(
                           replicas.begin(), replicas.end(),
                           [snapshot](const SnapshotRange& range) {
                             return range.Holds(snapshot);
                           });
                     });
}

}  // namespace

std::uint64_t NewestHeldByAllReplicas(
    const ShardSnapshots& shards, const std::vector<std::uint64_t>& excluded) {
  if (shards.empty()) return 0;
  std::uint64_t oldest = 1;
  std::uint64_t newest = std::numeric_limits<std::uint64_t>::max();
  for (const std::vector<SnapshotRange>& replicas : shards) {
    for (const SnapshotRange& range : replicas) {
      oldest = std::max(oldest, range.oldest);
      newest = std::min(newest, range.newest);
    }
  }
  while (newest >= oldest && Contains(excluded, newest)) --newest;
  return newest >= oldest ? newest : 0;
}

std::uint64_t NewestHeldByEachShard(
    const ShardSnapshots& shards, const std::vector<std::uint64_t>& excluded) {
  // Each shard holds a union of closed ranges, so the greatest element of their
  // intersection is the newest snapshot of some replica.
  std::set<std::uint64_t, std::greater<>> candidates;
  for (const std::vector<SnapshotRange>& replicas : shards) {
    for (const SnapshotRange& range : replicas) {
      for (std::uint64_t snapshot = range.newest;
           snapshot >= range.oldest && snapshot > 0; --snapshot) {
        candidates.insert(snapshot);
        if (!Contains(excluded, snapshot)) break;
      }
    }
  }
  for (const std::uint64_t snapshot : candidates) {
    if (!Contains(excluded, snapshot) && IsHeldByEachShard(shards, snapshot)) {
      return snapshot;
    }
  }
  return 0;
}

}  // namespace banyanknot::coordination::internal
