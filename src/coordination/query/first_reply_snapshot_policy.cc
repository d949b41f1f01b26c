#include "banyanknot/coordination/query/first_reply_snapshot_policy.h"

#include <algorithm>

namespace banyanknot::coordination {

std::uint64_t FirstReplySnapshotPolicy::ChooseFirst(const ShardMap& /*map*/) {
  return kSnapshotOfFirstReply;
}

std::uint64_t FirstReplySnapshotPolicy::ChooseNext(
    const ShardMap& /*map*/,
    const std::vector<SnapshotObservation>& observations,
    const std::vector<std::uint64_t>& tried) {
  std::uint64_t newest = kSnapshotOfFirstReply;
  for (const SnapshotObservation& item : observations) {
    const bool was_tried =
        std::find(tried.begin(), tried.end(), item.newest) != tried.end();
    if (!was_tried) newest = std::max(newest, item.newest);
  }
  return newest;
}

}  // namespace banyanknot::coordination
