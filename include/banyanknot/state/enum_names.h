#ifndef BANYANKNOT_STATE_ENUM_NAMES_H_
#define BANYANKNOT_STATE_ENUM_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

#include "banyanknot/state/util/assert.h"

namespace banyanknot::state {

/// \brief One row of an enumeration's table of names.
template <typename Enum>
struct EnumName {
  Enum value;
  std::string_view name;
};

/// \brief Looks up the name of `value` in its table.
/// \pre the table has a row for `value`
template <typename Enum, std::size_t kSize>
constexpr std::string_view FindName(
    const std::array<EnumName<Enum>, kSize>& table, Enum value) {
  for (const EnumName<Enum>& row : table) {
    if (row.value == value) return row.name;
  }
  BANYANKNOT_ASSERT(false, "add the enumerator to its table of names");
  return {};
}

/// \brief Looks up the enumerator named `name`.
/// \returns nullopt if the table has no such name
template <typename Enum, std::size_t kSize>
constexpr std::optional<Enum> FindValue(
    const std::array<EnumName<Enum>, kSize>& table, std::string_view name) {
  for (const EnumName<Enum>& row : table) {
    if (row.name == name) return row.value;
  }
  return std::nullopt;
}

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_ENUM_NAMES_H_
