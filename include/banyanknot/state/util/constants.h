#ifndef BANYANKNOT_STATE_UTIL_CONSTANTS_H_
#define BANYANKNOT_STATE_UTIL_CONSTANTS_H_

#include <cstddef>

namespace banyanknot::state {

/// \brief Default number of shards of a table.
inline constexpr std::size_t kDefaultTableShards = 32;

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_UTIL_CONSTANTS_H_
