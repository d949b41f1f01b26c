#ifndef BANYANKNOT_COORDINATION_QUERY_SHARD_MAP_FAULT_H_
#define BANYANKNOT_COORDINATION_QUERY_SHARD_MAP_FAULT_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief Why a service has no shard map that queries could run on.
enum class ShardMapFault {
  kUnknownService,  ///< no such service is in force
  kNoShards,        ///< the service has no shards
  kEmptyRange,      ///< a shard covers no keys
  kOverlap,         ///< two shards cover the same key, or are out of order
  kGap,             ///< keys of the key space lie in no shard
};

/// \brief Names of ShardMapFault, as they stand in messages and logs.
inline constexpr std::array<state::EnumName<ShardMapFault>, 5>
    kShardMapFaultNames{{
        {ShardMapFault::kUnknownService, "unknown service"},
        {ShardMapFault::kNoShards, "no shards"},
        {ShardMapFault::kEmptyRange, "empty shard range"},
        {ShardMapFault::kOverlap, "overlapping shard ranges"},
        {ShardMapFault::kGap, "gap between shard ranges"},
    }};

/// \brief Returns the name of a ShardMapFault.
constexpr std::string_view NameOf(ShardMapFault value) {
  return state::FindName(kShardMapFaultNames, value);
}

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_SHARD_MAP_FAULT_H_
