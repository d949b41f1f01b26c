#include "banyanknot/coordination/query/shard_map.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>

namespace banyanknot::coordination {
namespace {

std::optional<ShardMapError> ValidateShards(
    const state::ServiceEntry& service) {
  if (service.shards.empty()) return ShardMapError::kNoShards;
  std::uint64_t cursor = service.key_space.begin;
  for (const state::ShardEntry& shard : service.shards) {
    if (shard.range.IsEmpty()) return ShardMapError::kEmptyRange;
    if (shard.range.begin < cursor) return ShardMapError::kOverlap;
    if (shard.range.begin > cursor) return ShardMapError::kGap;
    cursor = shard.range.end;
  }
  if (cursor != service.key_space.end) return ShardMapError::kGap;
  return std::nullopt;
}

}  // namespace

ShardMap::ShardMap(std::shared_ptr<const state::ServiceEntry> service)
    : service(std::move(service)) {
  std::unordered_map<state::ServerId, const state::ServerEntry*> servers;
  for (const state::ServerEntry& server : this->service->servers) {
    servers.emplace(server.id, &server);
  }
  this->shards.reserve(this->service->shards.size());
  for (const state::ShardEntry& shard : this->service->shards) {
    MappedShard mapped{shard.id, shard.range, {}};
    for (const state::ServerId& replica : shard.replicas) {
      const auto server = servers.find(replica);
      if (server != servers.end()) mapped.replicas.push_back(server->second);
    }
    this->shards.push_back(std::move(mapped));
  }
}

state::Result<ShardMap::Pointer, ShardMapError> ShardMap::Build(
    std::shared_ptr<const state::ServiceEntry> service) {
  if (service == nullptr) return ShardMapError::kUnknownService;
  const std::optional<ShardMapError> error = ValidateShards(*service);
  if (error) return *error;
  return Pointer(new ShardMap(std::move(service)));
}

std::vector<const MappedShard*> ShardMap::ShardsOf(
    const state::KeyRange& range) const {
  std::vector<const MappedShard*> found;
  auto shard =
      std::lower_bound(this->shards.begin(), this->shards.end(), range.begin,
                       [](const MappedShard& candidate, std::uint64_t key) {
                         return candidate.range.end <= key;
                       });
  for (; shard != this->shards.end() && shard->range.begin < range.end;
       ++shard) {
    found.push_back(&*shard);
  }
  return found;
}

}  // namespace banyanknot::coordination
