#ifndef BANYANKNOT_COORDINATION_QUERY_SHARD_MAP_TABLE_H_
#define BANYANKNOT_COORDINATION_QUERY_SHARD_MAP_TABLE_H_

#include "banyanknot/coordination/query/shard_map.h"
#include "banyanknot/state/catalogue_table.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Cache of the shard maps of services, rebuilt when an entry changes.
///
/// Thread-safe.
class ShardMapTable {
 public:
  explicit ShardMapTable(const state::CatalogueTable& catalogue)
      : catalogue(catalogue) {}

  /// \brief Returns the map of the current catalogue entry of a service.
  state::Result<ShardMap::Pointer, ShardMapError> Find(
      const state::ServiceId& service);

 private:
  const state::CatalogueTable& catalogue;
  state::ShardedTable<state::ServiceId, ShardMap::Pointer> maps;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_SHARD_MAP_TABLE_H_
