#ifndef BANYANKNOT_STATE_SHARDED_TABLE_H_
#define BANYANKNOT_STATE_SHARDED_TABLE_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <type_traits>
#include <unordered_map>
#include <utility>
#include <vector>

#include "banyanknot/state/util/assert.h"
#include "banyanknot/state/util/constants.h"

namespace banyanknot::state {

/// \brief A hash table split into shards, each under its own lock.
///
/// Thread-safe. Callbacks passed to Update(), UpdateIfPresent(),
/// ReadIfPresent() and ForEach() run under the lock of one shard. They must
/// only access the given record and call nothing outside it.
template <typename Key, typename Record, typename Hash = std::hash<Key>>
class ShardedTable {
 public:
  /// \param shard_count number of shards
  /// \pre shard_count > 0
  explicit ShardedTable(std::size_t shard_count = kDefaultTableShards) {
    BANYANKNOT_ASSERT(shard_count > 0, "give the table at least one shard");
    this->shards.reserve(shard_count);
    for (std::size_t index = 0; index < shard_count; ++index) {
      this->shards.push_back(std::make_unique<Shard>());
    }
  }

  /// \brief Returns a copy of the record of `key`; nullopt if there is none.
  std::optional<Record> Find(const Key& key) const {
    const Shard& shard = this->ShardOf(key);
    const std::lock_guard<std::mutex> lock(shard.mutex);
    const auto found = shard.records.find(key);
    if (found == shard.records.end()) return std::nullopt;
    return found->second;
  }

  /// \brief Visits the record of `key` in place, without a copy.
  /// \returns false if there is none
  template <typename Visit>
  bool ReadIfPresent(const Key& key, Visit visit) const {
    const Shard& shard = this->ShardOf(key);
    const std::lock_guard<std::mutex> lock(shard.mutex);
    const auto found = shard.records.find(key);
    if (found == shard.records.end()) return false;
    visit(found->second);
    return true;
  }

  /// \brief Inserts `record` unless `key` has one.
  /// \returns true if it was inserted
  bool Insert(const Key& key, Record record) {
    Shard& shard = this->ShardOf(key);
    const std::lock_guard<std::mutex> lock(shard.mutex);
    return shard.records.emplace(key, std::move(record)).second;
  }

  /// \brief Changes the record of `key`, creating an empty one if needed.
  /// \returns what `change` returns
  template <typename Change>
  std::invoke_result_t<Change, Record&> Update(const Key& key, Change change) {
    Shard& shard = this->ShardOf(key);
    const std::lock_guard<std::mutex> lock(shard.mutex);
    return change(shard.records[key]);
  }

  /// \brief Changes the record of `key` if there is one.
  /// \returns false if there is none
  template <typename Change>
  bool UpdateIfPresent(const Key& key, Change change) {
    Shard& shard = this->ShardOf(key);
    const std::lock_guard<std::mutex> lock(shard.mutex);
    const auto found = shard.records.find(key);
    if (found == shard.records.end()) return false;
    change(found->second);
    return true;
  }

  /// \brief Removes the record of `key`.
  /// \returns the record, if there was one
  std::optional<Record> Take(const Key& key) {
    Shard& shard = this->ShardOf(key);
    const std::lock_guard<std::mutex> lock(shard.mutex);
    const auto found = shard.records.find(key);
    if (found == shard.records.end()) return std::nullopt;
    std::optional<Record> record(std::move(found->second));
    shard.records.erase(found);
    return record;
  }

  /// \brief Removes the records for which `condition` holds.
  /// \returns the number of removed records
  template <typename Condition>
  std::size_t RemoveIf(Condition condition) {
    std::size_t removed = 0;
    for (const std::unique_ptr<Shard>& shard : this->shards) {
      const std::lock_guard<std::mutex> lock(shard->mutex);
      for (auto record = shard->records.begin();
           record != shard->records.end();) {
        if (condition(record->first, record->second)) {
          record = shard->records.erase(record);
          ++removed;
        } else {
          ++record;
        }
      }
    }
    return removed;
  }

  /// \brief Visits all records, one shard's lock at a time.
  template <typename Visit>
  void ForEach(Visit visit) const {
    for (const std::unique_ptr<Shard>& shard : this->shards) {
      const std::lock_guard<std::mutex> lock(shard->mutex);
      for (const auto& [key, record] : shard->records) visit(key, record);
    }
  }

  /// \brief Returns the number of records; exact only while nothing changes.
  std::size_t Size() const {
    std::size_t size = 0;
    for (const std::unique_ptr<Shard>& shard : this->shards) {
      const std::lock_guard<std::mutex> lock(shard->mutex);
      size += shard->records.size();
    }
    return size;
  }

 private:
  struct Shard {
    mutable std::mutex mutex;
    std::unordered_map<Key, Record, Hash> records;
  };

  Shard& ShardOf(const Key& key) const {
    const std::size_t hash = Hash()(key);
    return *this->shards[(hash ^ (hash >> 17)) % this->shards.size()];
  }

  std::vector<std::unique_ptr<Shard>> shards;
};

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_SHARDED_TABLE_H_
