#include "banyanknot/coordination/query/shard_map_table.h"

#include <memory>
#include <utility>

namespace banyanknot::coordination {

state::Result<ShardMap::Pointer, ShardMapError> ShardMapTable::Find(
    const state::ServiceId& service) {
  std::shared_ptr<const state::ServiceEntry> entry =
      this->catalogue.FindService(service);
  if (entry == nullptr) return ShardMapError::kUnknownService;
  ShardMap::Pointer map;
  this->maps.ReadIfPresent(
      service, [&map](const ShardMap::Pointer& known) { map = known; });
  if (map != nullptr && &map->Service() == entry.get()) return map;
  state::Result<ShardMap::Pointer, ShardMapError> built =
      ShardMap::Build(std::move(entry));
  if (state::IsOk(built)) {
    const ShardMap::Pointer& fresh = state::ValueOf(built);
    this->maps.Update(service,
                      [&fresh](ShardMap::Pointer& known) { known = fresh; });
  }
  return built;
}

}  // namespace banyanknot::coordination
