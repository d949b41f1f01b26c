#ifndef BANYANKNOT_STATE_KEY_RANGE_SET_H_
#define BANYANKNOT_STATE_KEY_RANGE_SET_H_

#include <cstdint>
#include <vector>

#include "banyanknot/state/key_range.h"

namespace banyanknot::state {

/// \brief A set of keys, stored as disjoint, non-adjacent ranges.
///
/// Not thread-safe; owned by one in-flight request.
class KeyRangeSet {
 public:
  /// \brief Adds the part of `range` that is not in the set yet.
  /// \returns the newly added ranges, in order
  std::vector<KeyRange> Insert(const KeyRange& range);

  /// \brief Returns the parts of `whole` that are not in the set, in order.
  std::vector<KeyRange> MissingFrom(const KeyRange& whole) const;

  bool Covers(const KeyRange& range) const;

  /// \brief Returns the number of keys in the set.
  std::uint64_t Size() const;

  /// \brief Returns the ranges of the set, in order.
  const std::vector<KeyRange>& Ranges() const { return this->ranges; }

  void Clear() { this->ranges.clear(); }

 private:
  std::vector<KeyRange> ranges;  // in key order; disjoint and non-adjacent
};

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_KEY_RANGE_SET_H_
