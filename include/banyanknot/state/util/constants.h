#ifndef BANYANKNOT_STATE_UTIL_CONSTANTS_H_
#define BANYANKNOT_STATE_UTIL_CONSTANTS_H_

#include <cstddef>

namespace banyanknot::state {

/// \brief Number of shards in a table unless its owner asks for another.
inline constexpr std::size_t kDefaultTableShards = 32;

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_UTIL_CONSTANTS_H_
