#ifndef BANYANKNOT_COORDINATION_QUERY_ATTEMPT_TABLE_H_
#define BANYANKNOT_COORDINATION_QUERY_ATTEMPT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "banyanknot/coordination/query/shard_map.h"
#include "banyanknot/coordination/server_gate.h"

namespace banyanknot::coordination {

/// \brief One attempt of a shard task at one server.
struct QueryAttempt {
  std::uint32_t id = 0;
  std::uint32_t round =
      0;                 ///< of the query; incremented with each new snapshot
  std::size_t task = 0;  ///< index of its task in that round
  const MappedShard* shard = nullptr;
  const state::ServerEntry* server = nullptr;
  state::KeyRange range;
  std::uint64_t snapshot = 0;
  ServerPermit permit;
  state::TimePoint sent_at;
  bool is_open = true;  ///< has no result yet
};

/// \brief The attempts of one query, numbered from 1.
///
/// Not thread-safe; owned by one query.
class AttemptTable {
 public:
  /// \brief Adds an attempt and assigns it the next id.
  QueryAttempt& Open(QueryAttempt attempt);

  /// \brief Returns the attempt with that id if it has no result yet.
  /// \returns nullptr if the id is unknown or its attempt is closed
  QueryAttempt* FindOpen(std::uint32_t id);

  /// \brief Marks an attempt as having a result.
  /// \pre attempt.is_open
  void Close(QueryAttempt& attempt);

  void Reserve(std::size_t count) { this->attempts.reserve(count); }
  std::size_t OpenCount() const { return this->open_count; }
  const std::vector<QueryAttempt>& All() const { return this->attempts; }

 private:
  std::vector<QueryAttempt> attempts;
  std::size_t open_count = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_ATTEMPT_TABLE_H_
