#ifndef BANYANKNOT_COORDINATION_QUERY_SNAPSHOT_POLICY_H_
#define BANYANKNOT_COORDINATION_QUERY_SNAPSHOT_POLICY_H_

#include <cstdint>
#include <vector>

#include "banyanknot/coordination/query/shard_map.h"
#include "banyanknot/state/identifier.h"

namespace banyanknot::coordination {

/// \brief The snapshots that a server said it holds, in a reply to this query.
struct SnapshotEvidence {
  state::ServerId server;
  std::uint64_t oldest = 0;
  std::uint64_t newest = 0;
};

/// \brief Stands for "the snapshot of the first reply".
inline constexpr std::uint64_t kSnapshotOfFirstReply = 0;

/// \brief Chooses the one snapshot that all records of an answer come from.
///
/// Thread-safe.
class SnapshotPolicy {
 public:
  virtual ~SnapshotPolicy() = default;

  /// \brief Chooses the snapshot that a query starts with.
  /// \returns kSnapshotOfFirstReply if too little is known
  virtual std::uint64_t ChooseFirst(const ShardMap& map) = 0;

  /// \brief Chooses again after a shard was found not to hold the snapshot.
  /// \param evidence what servers said to this query, latest last
  /// \param tried snapshots that the query has tried before
  /// \returns one that is not in `tried`; kSnapshotOfFirstReply if none is
  /// known
  virtual std::uint64_t ChooseNext(
      const ShardMap& map, const std::vector<SnapshotEvidence>& evidence,
      const std::vector<std::uint64_t>& tried) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_SNAPSHOT_POLICY_H_
