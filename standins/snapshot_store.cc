#include "snapshot_store.h"

#include <algorithm>

namespace banyanknot::standins {

std::string ExpectedValue(std::uint64_t key, std::uint64_t snapshot) {
  return "\"" + std::to_string(key) + "@" + std::to_string(snapshot) + "\"";
}

std::uint64_t SnapshotStore::Newest(state::TimePoint now) const {
  if (this->policy.advance.count() == 0) return this->policy.newest;
  const state::Duration since = now.time_since_epoch() - this->policy.lag;
  return static_cast<std::uint64_t>(since / this->policy.advance);
}

std::uint64_t SnapshotStore::Oldest(state::TimePoint now) const {
  const std::uint64_t newest = this->Newest(now);
  const std::uint64_t kept = std::max<std::uint64_t>(this->policy.kept, 1);
  return newest > kept ? newest - kept + 1 : 1;
}

bool SnapshotStore::Holds(std::uint64_t snapshot, state::TimePoint now) const {
  return snapshot >= this->Oldest(now) && snapshot <= this->Newest(now);
}

std::vector<state::Record> RecordsOf(const state::KeyRange& range,
                                     std::uint64_t stride,
                                     std::uint64_t snapshot) {
  std::vector<state::Record> records;
  const std::uint64_t first = (range.begin + stride - 1) / stride;
  for (std::uint64_t key = first * stride; key < range.end; key += stride) {
    records.push_back({key, ExpectedValue(key, snapshot)});
  }
  return records;
}

}  // namespace banyanknot::standins
