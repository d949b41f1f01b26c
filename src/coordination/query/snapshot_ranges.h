#ifndef BANYANKNOT_COORDINATION_QUERY_SNAPSHOT_RANGES_H_
#define BANYANKNOT_COORDINATION_QUERY_SNAPSHOT_RANGES_H_

#include <cstdint>
#include <vector>

namespace banyanknot::coordination::internal {

/// \brief The closed range of snapshots that one replica holds.
struct SnapshotRange {
  std::uint64_t oldest = 0;
  std::uint64_t newest = 0;

  bool Holds(std::uint64_t snapshot) const {
    return snapshot >= this->oldest && snapshot <= this->newest;
  }
};

/// \brief The known snapshot ranges of the replicas of each shard.
///
/// Shards without a known range are omitted.
using ShardSnapshots = std::vector<std::vector<SnapshotRange>>;

/// \brief Returns the newest snapshot that all replicas hold.
/// \returns 0 if there is none outside `excluded`
std::uint64_t NewestHeldByAllReplicas(
    const ShardSnapshots& shards, const std::vector<std::uint64_t>& excluded);

/// \brief Returns the newest snapshot that a replica of each shard holds.
/// \returns 0 if there is none outside `excluded`
std::uint64_t NewestHeldByEachShard(const ShardSnapshots& shards,
                                    const std::vector<std::uint64_t>& excluded);

}  // namespace banyanknot::coordination::internal

#endif  // BANYANKNOT_COORDINATION_QUERY_SNAPSHOT_RANGES_H_
