#include "banyanknot/coordination/query/load_aware_replica_selector.h"

#include <algorithm>
#include <boost/container/small_vector.hpp>
#include <cstddef>
#include <utility>

#include "coordination/query/replica_score.h"

namespace banyanknot::coordination {
namespace {

// Costs within this factor count as equal, as load reports are imprecise.
constexpr double kCostTolerance = 1.25;

struct ScoredServer {
  const state::ServerEntry* server = nullptr;
  internal::ReplicaScore score;
  double cost = 0;
};

// Inline capacity; few shards have more replicas.
constexpr std::size_t kTypicalReplicaCount = 4;
using ScoredServers =
    boost::container::small_vector<ScoredServer, kTypicalReplicaCount>;

bool IsClearlyBetter(const ScoredServer& left, const ScoredServer& right) {
  if (left.score.tier != right.score.tier) {
    return left.score.tier < right.score.tier;
  }
  return left.cost * kCostTolerance < right.cost;
}

bool IsBetter(const ScoredServer& left, const ScoredServer& right) {
  if (left.score.tier != right.score.tier) {
    return left.score.tier < right.score.tier;
  }
  return left.cost < right.cost;
}

ScoredServer ScoreServer(const state::ServerTable& servers,
                         const state::ServerEntry& server,
                         state::TimePoint now) {
  ScoredServer ranked{&server, internal::ScoreOfUnknown(server), 0};
  servers.ReadIfPresent(
      server.id, [&ranked, &server, now](const state::ServerRecord& record) {
        ranked.score = internal::ScoreOf(server, record, now);
      });
  return ranked;
}

void ComputeCosts(ScoredServers& ranked) {
  double min_latency = 0;
  for (const ScoredServer& item : ranked) {
    const double latency = item.score.latency_ms;
    if (latency > 0 && (min_latency == 0 || latency < min_latency)) {
      min_latency = latency;
    }
  }
  if (min_latency == 0) min_latency = 1;
  for (ScoredServer& item : ranked) {
    item.cost = internal::CostOf(item.score, min_latency);
  }
}

}  // namespace

LoadAwareReplicaSelector::LoadAwareReplicaSelector(
    const Clock& clock, RandomSource& random, const state::ServerTable& servers)
    : clock(clock), random(random), servers(servers) {}

void LoadAwareReplicaSelector::Rank(
    std::vector<const state::ServerEntry*>& candidates) {
  if (candidates.size() < 2) return;
  const state::TimePoint now = this->clock.Now();
  ScoredServers ranked;
  ranked.reserve(candidates.size());
  for (const state::ServerEntry* server : candidates) {
    ranked.push_back(ScoreServer(this->servers, *server, now));
  }
  ComputeCosts(ranked);
  const std::size_t first = this->random.Below(ranked.size());
  std::swap(ranked[0], ranked[first]);
  if (ranked.size() > 2) {
    const std::size_t second = 1 + this->random.Below(ranked.size() - 1);
    std::swap(ranked[1], ranked[second]);
  }
  if (IsClearlyBetter(ranked[1], ranked[0])) std::swap(ranked[0], ranked[1]);
  std::sort(ranked.begin() + 1, ranked.end(), IsBetter);
  // Both random choices may be of a worse tier; the best tier always goes
  // first.
  if (ranked[1].score.tier < ranked[0].score.tier) {
    std::rotate(ranked.begin(), ranked.begin() + 1, ranked.end());
  }
  for (std::size_t index = 0; index < ranked.size(); ++index) {
    candidates[index] = ranked[index].server;
  }
}

}  // namespace banyanknot::coordination
