#ifndef BANYANKNOT_STANDINS_SNAPSHOT_STORE_H_
#define BANYANKNOT_STANDINS_SNAPSHOT_STORE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "backend_behaviour.h"
#include "banyanknot/state/answer.h"

namespace banyanknot::standins {

/// \brief The value that every stand-in holds for a key in a snapshot.
std::string ExpectedValue(std::uint64_t key, std::uint64_t snapshot);

/// \brief Tells which index versions a stand-in holds, and their records.
///
/// Versions that advance do so by the machine's monotonic clock, so that all
/// stand-ins of one machine agree but for their lag.
class SnapshotStore {
 public:
  explicit SnapshotStore(const SnapshotPolicy& policy) : policy(policy) {}
  std::uint64_t Newest(state::TimePoint now) const;
  std::uint64_t Oldest(state::TimePoint now) const;
  bool Holds(std::uint64_t snapshot, state::TimePoint now) const;

 private:
  const SnapshotPolicy& policy;
};

/// \brief The records of `range`: one at each multiple of `stride`.
std::vector<state::Record> RecordsOf(const state::KeyRange& range,
                                     std::uint64_t stride,
                                     std::uint64_t snapshot);

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_SNAPSHOT_STORE_H_
