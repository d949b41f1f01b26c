#ifndef BANYANKNOT_STATE_STATE_ERROR_H_
#define BANYANKNOT_STATE_STATE_ERROR_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::state {

/// \brief Errors of the state layer.
enum class StateError {
  kNotFound,       ///< no record has that key
  kStaleRevision,  ///< the table holds a newer revision
  kConflict,       ///< same revision with different content
  kRangeInvalid,   ///< a key range is empty or reversed
  kTableFull,      ///< the table has reached its size limit
};

/// \brief Names of StateError as written in messages and logs.
inline constexpr std::array<state::EnumName<StateError>, 5> kStateErrorNames{{
    {StateError::kNotFound, "not_found"},
    {StateError::kStaleRevision, "stale_revision"},
    {StateError::kConflict, "conflict"},
    {StateError::kRangeInvalid, "range_invalid"},
    {StateError::kTableFull, "table_full"},
}};

/// \brief Returns the name of a StateError.
constexpr std::string_view NameOf(StateError value) {
  return state::FindName(kStateErrorNames, value);
}

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_STATE_ERROR_H_
