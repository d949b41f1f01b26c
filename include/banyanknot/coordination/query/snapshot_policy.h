#ifndef BANYANKNOT_COORDINATION_QUERY_SNAPSHOT_POLICY_H_
#define BANYANKNOT_COORDINATION_QUERY_SNAPSHOT_POLICY_H_

#include <cstdint>
#include <vector>

#include "banyanknot/coordination/query/shard_map.h"
#include "banyanknot/state/identifier.h"

namespace banyanknot::coordination {

/// \brief The snapshots that a server holds, from its reply to this query.
struct SnapshotObservation {
  state::ServerId server;
  std::uint64_t oldest = 0;
  std::uint64_t newest = 0;
};

/// \brief Sent in place of a snapshot: the first reply determines it.
inline constexpr std::uint64_t kSnapshotOfFirstReply = 0;

/// \brief Chooses the snapshot that all records of an answer come from.
///
/// Thread-safe.
class SnapshotPolicy {
 public:
  virtual ~SnapshotPolicy() = default;

  /// \brief Chooses the snapshot that a query starts with.
  /// \returns kSnapshotOfFirstReply if no common snapshot is known
  virtual std::uint64_t ChooseFirst(const ShardMap& map) = 0;

  /// \brief Chooses another snapshot after a shard no longer held the last one.
  /// \param observations from replies to this query, latest last
  /// \param tried snapshots that the query has tried
  /// \returns a snapshot that is not in `tried`; kSnapshotOfFirstReply if none
  /// is known
  virtual std::uint64_t ChooseNext(
      const ShardMap& map, const std::vector<SnapshotObservation>& observations,
      const std::vector<std::uint64_t>& tried) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_SNAPSHOT_POLICY_H_
