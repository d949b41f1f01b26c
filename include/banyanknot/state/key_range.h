#ifndef BANYANKNOT_STATE_KEY_RANGE_H_
#define BANYANKNOT_STATE_KEY_RANGE_H_

#include <cstdint>

namespace banyanknot::state {

/// \brief A half-open range of keys, [begin, end).
struct KeyRange {
  std::uint64_t begin = 0;
  std::uint64_t end = 0;

  bool IsEmpty() const { return this->begin >= this->end; }
  /// \brief Returns the number of keys; 0 for an empty or reversed range.
  std::uint64_t Size() const {
    return this->IsEmpty() ? 0 : this->end - this->begin;
  }
  bool Contains(std::uint64_t key) const {
    return key >= this->begin && key < this->end;
  }
  bool Contains(const KeyRange& other) const {
    return other.begin >= this->begin && other.end <= this->end;
  }

  friend bool operator==(const KeyRange& left, const KeyRange& right) {
    return left.begin == right.begin && left.end == right.end;
  }
  friend bool operator!=(const KeyRange& left, const KeyRange& right) {
    return !(left == right);
  }
};

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_KEY_RANGE_H_
