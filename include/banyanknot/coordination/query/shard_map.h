#ifndef BANYANKNOT_COORDINATION_QUERY_SHARD_MAP_H_
#define BANYANKNOT_COORDINATION_QUERY_SHARD_MAP_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "banyanknot/coordination/query/shard_map_fault.h"
#include "banyanknot/state/catalogue.h"
#include "banyanknot/state/result.h"

namespace banyanknot::coordination {

/// \brief A shard with its replicas resolved to servers.
struct MappedShard {
  std::uint32_t id = 0;
  state::KeyRange range;
  std::vector<const state::ServerEntry*> replicas;
};

/// \brief The shards of one service entry, checked and ready for lookup.
///
/// Immutable. Keeps its service entry alive, so pointers into it stay valid
/// as long as the map.
class ShardMap {
 public:
  using Pointer = std::shared_ptr<const ShardMap>;

  /// \brief Checks that the shards tile the key space and resolves replicas.
  ///
  /// Replicas that name no server of the service are left out.
  static state::Result<Pointer, ShardMapFault> Build(
      std::shared_ptr<const state::ServiceEntry> service);

  const state::ServiceEntry& Service() const { return *this->service; }
  const std::vector<MappedShard>& Shards() const { return this->shards; }

  /// \brief The shards that hold keys of `range`, in key order.
  std::vector<const MappedShard*> ShardsOf(const state::KeyRange& range) const;

 private:
  explicit ShardMap(std::shared_ptr<const state::ServiceEntry> service);

  std::shared_ptr<const state::ServiceEntry> service;
  std::vector<MappedShard> shards;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_SHARD_MAP_H_
