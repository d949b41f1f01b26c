#ifndef BANYANKNOT_COORDINATION_FLEET_UPDATE_QUEUE_H_
#define BANYANKNOT_COORDINATION_FLEET_UPDATE_QUEUE_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

namespace banyanknot::coordination {

/// \brief Returns how often an item is sent in a fleet of `host_count` hosts.
inline std::size_t MaxTransmissions(std::size_t host_count) {
  constexpr double kFactor = 3.0;
  return static_cast<std::size_t>(
      std::ceil(kFactor * std::log2(static_cast<double>(host_count) + 2.0)));
}

/// \brief Queue of items to gossip, each sent a bounded number of times.
///
/// Thread-safe. The items sent least often come first.
template <typename Key, typename Item>
class UpdateQueue {
 public:
  /// \brief Adds an item, or replaces the one with the same key.
  void Add(const Key& key, Item item) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (Entry& entry : this->entries) {
      if (entry.key != key) continue;
      entry.item = std::move(item);
      entry.sent = 0;
      return;
    }
    this->entries.push_back({key, std::move(item), 0});
  }

  /// \brief Returns up to `count` items; removes those sent `limit` times.
  std::vector<Item> Take(std::size_t count, std::size_t limit) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::stable_sort(this->entries.begin(), this->entries.end(),
                     [](const Entry& left, const Entry& right) {
                       return left.sent < right.sent;
                     });
    std::vector<Item> items;
    for (Entry& entry : this->entries) {
      if (items.size() == count) break;
      ++entry.sent;
      items.push_back(entry.item);
    }
    this->entries.erase(
        std::remove_if(
            this->entries.begin(), this->entries.end(),
            [limit](const Entry& entry) { return entry.sent >= limit; }),
        this->entries.end());
    return items;
  }

  std::size_t Size() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->entries.size();
  }

 private:
  struct Entry {
    Key key;
    Item item;
    std::size_t sent = 0;
  };

  mutable std::mutex mutex;
  std::vector<Entry> entries;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_FLEET_UPDATE_QUEUE_H_
