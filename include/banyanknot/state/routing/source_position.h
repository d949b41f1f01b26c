#ifndef BANYANKNOT_STATE_ROUTING_SOURCE_POSITION_H_
#define BANYANKNOT_STATE_ROUTING_SOURCE_POSITION_H_

#include <cstdint>
#include <tuple>

namespace banyanknot::state {

/// \brief A place in the history of a source of published changes.
///
/// A source that returns from a copy of its data has lost what was written
/// after the copy, gives the revisions since then out again, and begins a new
/// era. Revisions of different eras can't be compared.
struct SourcePosition {
  std::uint64_t revision = 0;
  std::uint64_t era = 0;  ///< 0 for a source that counts no eras
};

constexpr bool operator==(const SourcePosition& left,
                          const SourcePosition& right) {
  return left.era == right.era && left.revision == right.revision;
}
constexpr bool operator!=(const SourcePosition& left,
                          const SourcePosition& right) {
  return !(left == right);
}
/// \brief Orders positions by era, then by revision.
constexpr bool operator<(const SourcePosition& left,
                         const SourcePosition& right) {
  return std::tie(left.era, left.revision) <
         std::tie(right.era, right.revision);
}
constexpr bool operator>(const SourcePosition& left,
                         const SourcePosition& right) {
  return right < left;
}
constexpr bool operator<=(const SourcePosition& left,
                          const SourcePosition& right) {
  return !(right < left);
}
constexpr bool operator>=(const SourcePosition& left,
                          const SourcePosition& right) {
  return !(left < right);
}

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_ROUTING_SOURCE_POSITION_H_
