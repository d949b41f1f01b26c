#ifndef BANYANKNOT_COORDINATION_QUERY_SHARD_MAP_H_
#define BANYANKNOT_COORDINATION_QUERY_SHARD_MAP_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "banyanknot/coordination/query/shard_map_error.h"
#include "banyanknot/state/catalogue.h"
#include "banyanknot/state/result.h"

namespace banyanknot::coordination {

/// \brief A shard with its replicas resolved to servers.
struct MappedShard {
  std::uint32_t id = 0;
  state::KeyRange range;
  std::vector<const state::ServerEntry*> replicas;
};

/// \brief The validated shards of one service entry, for lookup by key range.
///
/// Immutable. Shares ownership of its service entry, so pointers into the entry
/// are valid for the lifetime of the map.
class ShardMap {
 public:
  using Pointer = std::shared_ptr<const ShardMap>;

  /// \brief Checks that the shards partition the key space, and resolves their
  /// replicas to servers.
  ///
  /// Replicas that name no server of the service are omitted.
  static state::Result<Pointer, ShardMapError> Build(
      std::shared_ptr<const state::ServiceEntry> service);

  const state::ServiceEntry& Service() const { return *this->service; }
  const std::vector<MappedShard>& Shards() const { return this->shards; }

  /// \brief Returns the shards that overlap `range`, in key order.
  std::vector<const MappedShard*> ShardsOf(const state::KeyRange& range) const;

 private:
  explicit ShardMap(std::shared_ptr<const state::ServiceEntry> service);

  std::shared_ptr<const state::ServiceEntry> service;
  std::vector<MappedShard> shards;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_SHARD_MAP_H_
