#include "banyanknot/coordination/query/reported_snapshot_policy.h"

#include <optional>
#include <unordered_map>
#include <utility>

#include "coordination/query/snapshot_ranges.h"

namespace banyanknot::coordination {
namespace {

using internal::ShardSnapshots;
using internal::SnapshotRange;
using Ranges = std::unordered_map<const state::ServerEntry*, SnapshotRange>;

constexpr state::Duration kChoiceLifetime = state::Milliseconds(5);
constexpr state::Duration kReportLifetime = state::Milliseconds(5'000);
constexpr std::uint32_t kFailuresToIgnoreServer = 3;

std::optional<SnapshotRange> ReadRange(const state::ServerTable& servers,
                                       const state::ServerId& server,
                                       state::TimePoint now) {
  std::optional<SnapshotRange> range;
  servers.ReadIfPresent(server, [&range,
                                 now](const state::ServerRecord& record) {
    const bool is_known = record.report.newest_snapshot > 0 &&
                          now - record.reported_at < kReportLifetime &&
                          record.phase != state::ServerPhase::kLeaving &&
                          record.consecutive_failures < kFailuresToIgnoreServer;
    if (!is_known) return;
    range = {record.report.oldest_snapshot, record.report.newest_snapshot};
  });
  return range;
}

Ranges ReadRanges(const state::ServerTable& servers, const ShardMap& map,
                  const std::vector<SnapshotObservation>& observations,
                  state::TimePoint now) {
  Ranges ranges;
  for (const state::ServerEntry& server : map.Service().servers) {
    const std::optional<SnapshotRange> range =
        ReadRange(servers, server.id, now);
    if (range) ranges[&server] = *range;
  }
  for (const SnapshotObservation& item : observations) {
    const state::ServerEntry* server = map.Service().FindServer(item.server);
    if (server != nullptr) ranges[server] = {item.oldest, item.newest};
  }
  return ranges;
}

ShardSnapshots GroupByShard(const ShardMap& map, const Ranges& ranges) {
  ShardSnapshots shards;
  for (const MappedShard& shard : map.Shards()) {
    std::vector<SnapshotRange> known;
    for (const state::ServerEntry* replica : shard.replicas) {
      const auto range = ranges.find(replica);
      if (range != ranges.end()) known.push_back(range->second);
    }
    if (!known.empty()) shards.push_back(std::move(known));
  }
  return shards;
}

std::uint64_t Choose(const ShardSnapshots& shards,
                     const std::vector<std::uint64_t>& excluded) {
  const std::uint64_t common =
      internal::NewestHeldByAllReplicas(shards, excluded);
  return common > 0 ? common
                    : internal::NewestHeldByEachShard(shards, excluded);
}

}  // namespace

ReportedSnapshotPolicy::ReportedSnapshotPolicy(
    const Clock& clock, const state::ServerTable& servers)
    : clock(clock), servers(servers) {}

std::uint64_t ReportedSnapshotPolicy::ChooseFirst(const ShardMap& map) {
  const state::TimePoint now = this->clock.Now();
  std::optional<std::uint64_t> cached;
  this->choices.ReadIfPresent(
      map.Service().id, [&cached, &map, now](const Choice& choice) {
        if (choice.map == &map && now - choice.made_at < kChoiceLifetime) {
          cached = choice.snapshot;
        }
      });
  if (cached) return *cached;
  const Choice choice{
      Choose(GroupByShard(map, ReadRanges(this->servers, map, {}, now)), {}),
      now, &map};
  this->choices.Update(map.Service().id,
                       [&choice](Choice& known) { known = choice; });
  return choice.snapshot;
}

std::uint64_t ReportedSnapshotPolicy::ChooseNext(
    const ShardMap& map, const std::vector<SnapshotObservation>& observations,
    const std::vector<std::uint64_t>& tried) {
  const Ranges ranges =
      ReadRanges(this->servers, map, observations, this->clock.Now());
  const std::uint64_t common = Choose(GroupByShard(map, ranges), tried);
  if (common > 0) return common;
  // The reports of other shards may lag behind the replies to this query.
  return this->fallback.ChooseNext(map, observations, tried);
}

}  // namespace banyanknot::coordination
