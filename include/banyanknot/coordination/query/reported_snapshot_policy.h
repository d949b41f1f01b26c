#ifndef BANYANKNOT_COORDINATION_QUERY_REPORTED_SNAPSHOT_POLICY_H_
#define BANYANKNOT_COORDINATION_QUERY_REPORTED_SNAPSHOT_POLICY_H_

#include <cstdint>
#include <vector>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/query/first_reply_snapshot_policy.h"
#include "banyanknot/coordination/query/snapshot_policy.h"
#include "banyanknot/state/server_record.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Chooses a snapshot that every shard holds according to server
/// reports.
///
/// Prefers the newest snapshot that all replicas hold, so that any replica can
/// be chosen; otherwise the newest one that a replica of each shard holds.
/// Reports lag, so a server may no longer hold the chosen snapshot; the query
/// then calls ChooseNext().
///
/// Thread-safe. A choice is cached for a few milliseconds, so that its cost
/// does not grow with the query rate.
class ReportedSnapshotPolicy : public SnapshotPolicy {
 public:
  ReportedSnapshotPolicy(const Clock& clock, const state::ServerTable& servers);

  std::uint64_t ChooseFirst(const ShardMap& map) override;
  std::uint64_t ChooseNext(const ShardMap& map,
                           const std::vector<SnapshotObservation>& observations,
                           const std::vector<std::uint64_t>& tried) override;

 private:
  struct Choice {
    std::uint64_t snapshot = 0;
    state::TimePoint made_at;
    const ShardMap* map = nullptr;  // compared only, never dereferenced
  };

  const Clock& clock;
  const state::ServerTable& servers;
  FirstReplySnapshotPolicy fallback;
  state::ShardedTable<state::ServiceId, Choice> choices;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_REPORTED_SNAPSHOT_POLICY_H_
