#ifndef BANYANKNOT_COORDINATION_QUERY_ANSWER_MERGER_H_
#define BANYANKNOT_COORDINATION_QUERY_ANSWER_MERGER_H_

#include <cstdint>
#include <vector>

#include "banyanknot/state/answer.h"
#include "banyanknot/state/key_range_set.h"

namespace banyanknot::coordination {

/// \brief Merges the replies to one query and tracks the covered key ranges.
///
/// A key that several replies hold counts once. Not thread-safe; owned by one
/// query.
class AnswerMerger {
 public:
  /// \brief Merges the part of a reply that no earlier one covered.
  /// \param records all have keys in `covered`, each key once, in any order
  /// \returns false if nothing was new
  bool Merge(const state::KeyRange& covered,
             std::vector<state::Record> records);

  /// \brief Returns the parts of `range` that are not covered, in order.
  std::vector<state::KeyRange> MissingFrom(const state::KeyRange& range) const {
    return this->covered.MissingFrom(range);
  }

  /// \brief Returns the share of the keys of `key_space` that is covered.
  ///
  /// Always less than 1 while a key is missing, however large the key space.
  double CoverageOf(const state::KeyRange& key_space) const;

  /// \brief Moves all records out, ordered by key.
  std::vector<state::Record> TakeRecords();

  /// \brief Discards all records and coverage.
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
