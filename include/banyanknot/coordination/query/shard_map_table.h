#ifndef BANYANKNOT_COORDINATION_QUERY_SHARD_MAP_TABLE_H_
#define BANYANKNOT_COORDINATION_QUERY_SHARD_MAP_TABLE_H_

#include "banyanknot/coordination/query/shard_map.h"
#include "banyanknot/state/catalogue_table.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief The shard maps of the services in force, each built once an entry.
///
/// Thread-safe.
class ShardMapTable {
 public:
  explicit ShardMapTable(const state::CatalogueTable& catalogue)
      : catalogue(catalogue) {}

  /// \brief The map of the entry that is in force now.
  state::Result<ShardMap::Pointer, ShardMapFault> Find(
      const state::ServiceId& service);

 private:
  const state::CatalogueTable& catalogue;
  state::ShardedTable<state::ServiceId, ShardMap::Pointer> maps;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_SHARD_MAP_TABLE_H_
