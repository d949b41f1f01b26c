#ifndef BANYANKNOT_COORDINATION_QUERY_ANSWER_MERGER_H_
#define BANYANKNOT_COORDINATION_QUERY_ANSWER_MERGER_H_

#include <cstdint>
#include <vector>

#include "banyanknot/state/answer.h"
#include "banyanknot/state/key_range_set.h"

namespace banyanknot::coordination {

/// \brief Gathers the records of one answer and the key ranges that they cover.
///
/// Each key counts once, whichever replies hold it. Not thread-safe; it
/// belongs to one query.
class AnswerMerger {
 public:
  /// \brief Merges the part of a reply that no earlier one covered.
  /// \param records those of `covered`, each key once, in any order
  /// \returns false if nothing was new
  bool Merge(const state::KeyRange& covered,
             std::vector<state::Record> records);

  /// \brief The parts of `range` that are not covered, in order.
  std::vector<state::KeyRange> MissingFrom(const state::KeyRange& range) const {
    return this->covered.MissingFrom(range);
  }

  /// \brief Share of the keys of `key_space` that is covered.
  double CoverageOf(const state::KeyRange& key_space) const;

  /// \brief Moves all records out, ordered by key.
  std::vector<state::Record> TakeRecords();

  /// \brief Drops all records and coverage.
  void Clear();

 private:
  struct Chunk {
    std::uint64_t begin = 0;
    std::vector<state::Record> records;  // ordered by key
  };

  state::KeyRangeSet covered;
  std::vector<Chunk> chunks;  // of disjoint key ranges
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_ANSWER_MERGER_H_
