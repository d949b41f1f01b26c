#ifndef BANYANKNOT_COORDINATION_QUERY_SHARD_MAP_ERROR_H_
#define BANYANKNOT_COORDINATION_QUERY_SHARD_MAP_ERROR_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief Why a service has no usable shard map.
enum class ShardMapError {
  kUnknownService,  ///< the catalogue has no such service
  kNoShards,        ///< the service has no shards
  kEmptyRange,      ///< a shard covers no keys
  kOverlap,         ///< two shards cover the same key, or are out of order
  kGap,             ///< keys of the key space lie in no shard
};

/// \brief Names of ShardMapError, as they stand in messages and logs.
inline constexpr std::array<state::EnumName<ShardMapError>, 5>
    kShardMapErrorNames{{
        {ShardMapError::kUnknownService, "unknown service"},
        {ShardMapError::kNoShards, "no shards"},
        {ShardMapError::kEmptyRange, "empty shard range"},
        {ShardMapError::kOverlap, "overlapping shard ranges"},
        {ShardMapError::kGap, "gap between shard ranges"},
    }};

/// \brief Returns the name of a ShardMapError.
constexpr std::string_view NameOf(ShardMapError value) {
  return state::FindName(kShardMapErrorNames, value);
}

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_SHARD_MAP_ERROR_H_
