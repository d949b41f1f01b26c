#ifndef BANYANKNOT_COORDINATION_QUERY_FIRST_REPLY_SNAPSHOT_POLICY_H_
#define BANYANKNOT_COORDINATION_QUERY_FIRST_REPLY_SNAPSHOT_POLICY_H_

#include <cstdint>
#include <vector>

#include "banyanknot/coordination/query/snapshot_policy.h"

namespace banyanknot::coordination {

/// \brief Baseline: pins each query to the snapshot of its first reply.
class FirstReplySnapshotPolicy : public SnapshotPolicy {
 public:
  std::uint64_t ChooseFirst(const ShardMap& map) override;
  std::uint64_t ChooseNext(const ShardMap& map,
                           const std::vector<SnapshotObservation>& observations,
                           const std::vector<std::uint64_t>& tried) override;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_FIRST_REPLY_SNAPSHOT_POLICY_H_
