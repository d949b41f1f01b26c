#include "banyanknot/state/key_range_set.h"

#include <algorithm>
#include <iterator>

namespace banyanknot::state {
namespace {

bool EndsBefore(const KeyRange& range, std::uint64_t key) {
  return range.end < key;
}

}  // namespace

std::vector<KeyRange> KeyRangeSet::MissingFrom(const KeyRange& whole) const {
  std::vector<KeyRange> missing;
  std::uint64_t cursor = whole.begin;
  auto range = std::lower_bound(this->ranges.begin(), this->ranges.end(),
                                whole.begin, EndsBefore);
  for (; range != this->ranges.end() && range->begin < whole.end; ++range) {
    if (range->begin > cursor) missing.push_back({cursor, range->begin});
    cursor = std::max(cursor, range->end);
  }
  if (cursor < whole.end) missing.push_back({cursor, whole.end});
  return missing;
}

std::vector<KeyRange> KeyRangeSet::Insert(const KeyRange& range) {
  if (range.IsEmpty()) return {};
  std::vector<KeyRange> added = this->MissingFrom(range);
  if (added.empty()) return added;
  const auto first = std::lower_bound(this->ranges.begin(), this->ranges.end(),
                                      range.begin, EndsBefore);
  KeyRange merged = range;
  auto last = std::next(first, 0);
  for (; last != this->ranges.end() && last->begin <= merged.end; ++last) {
    merged.begin = std::min(merged.begin, last->begin);
    merged.end = std::max(merged.end, last->end);
  }
  if (first == last) {
    this->ranges.insert(first, merged);
  } else {
    *first = merged;
    this->ranges.erase(first + 1, last);
  }
  return added;
}

bool KeyRangeSet::Covers(const KeyRange& range) const {
  return this->MissingFrom(range).empty();
}

std::uint64_t KeyRangeSet::Size() const {
  std::uint64_t size = 0;
  for (const KeyRange& range : this->ranges) size += range.Size();
  return size;
}

}  // namespace banyanknot::state
