#include "banyanknot/state/key_range_set.h"

#include <algorithm>
#include <iterator>

namespace banyanknot::state {

std::vector<KeyRange> KeyRangeSet::MissingFrom(const KeyRange& whole) const {
  std::vector<KeyRange> missing;
  std::uint64_t cursor = whole.begin;
  auto range = this->ends.upper_bound(whole.begin);
  if (range != this->ends.begin()) {
    cursor = std::max(cursor, std::prev(range)->second);
  }
  for (; range != this->ends.end() && range->first < whole.end; ++range) {
    if (range->first > cursor) missing.push_back({cursor, range->first});
    cursor = std::max(cursor, range->second);
  }
  if (cursor < whole.end) missing.push_back({cursor, whole.end});
  return missing;
}

std::vector<KeyRange> KeyRangeSet::Insert(const KeyRange& range) {
  if (range.IsEmpty()) return {};
  std::vector<KeyRange> added = this->MissingFrom(range);
  if (added.empty()) return added;
  KeyRange merged = range;
  auto next = this->ends.upper_bound(range.begin);
  if (next != this->ends.begin()) {
    const auto previous = std::prev(next);
    if (previous->second >= range.begin) next = previous;
  }
  while (next != this->ends.end() && next->first <= merged.end) {
    merged.begin = std::min(merged.begin, next->first);
    merged.end = std::max(merged.end, next->second);
    next = this->ends.erase(next);
  }
  this->ends[merged.begin] = merged.end;
  return added;
}

bool KeyRangeSet::Covers(const KeyRange& range) const {
  return this->MissingFrom(range).empty();
}

std::uint64_t KeyRangeSet::Size() const {
  std::uint64_t size = 0;
  for (const KeyRange& range : this->Ranges()) size += range.Size();
  return size;
}

std::vector<KeyRange> KeyRangeSet::Ranges() const {
  std::vector<KeyRange> ranges;
  ranges.reserve(this->ends.size());
  for (const auto& [begin, end] : this->ends) ranges.push_back({begin, end});
  return ranges;
}

}  // namespace banyanknot::state
