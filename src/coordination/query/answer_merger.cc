#include "banyanknot/coordination/query/answer_merger.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <utility>

namespace banyanknot::coordination {
namespace {

bool IsBefore(const state::Record& left, const state::Record& right) {
  return left.key < right.key;
}

}  // namespace

bool AnswerMerger::Merge(const state::KeyRange& covered,
                         std::vector<state::Record> records) {
  const std::vector<state::KeyRange> added = this->covered.Insert(covered);
  if (added.empty()) return false;
  if (records.empty()) return true;
  if (!std::is_sorted(records.begin(), records.end(), IsBefore)) {
    std::sort(records.begin(), records.end(), IsBefore);
  }
  if (added.size() == 1 && added.front() == covered) {
    this->chunks.push_back({covered.begin, std::move(records)});
    return true;
  }
  for (const state::KeyRange& range : added) {
    Chunk chunk{range.begin, {}};
    for (state::Record& record : records) {
      if (range.Contains(record.key)) {
        chunk.records.push_back(std::move(record));
      }
    }
    this->chunks.push_back(std::move(chunk));
  }
  return true;
}

double AnswerMerger::CoverageOf(const state::KeyRange& key_space) const {
  if (key_space.IsEmpty()) return 0;
  std::uint64_t missing = 0;
  for (const state::KeyRange& range : this->covered.MissingFrom(key_space)) {
    missing += range.Size();
  }
  if (missing == 0) return 1;
  const double share = static_cast<double>(key_space.Size() - missing) /
                       static_cast<double>(key_space.Size());
  return std::min(share, std::nextafter(1.0, 0.0));
}

std::vector<state::Record> AnswerMerger::TakeRecords() {
  std::sort(this->chunks.begin(), this->chunks.end(),
            [](const Chunk& left, const Chunk& right) {
              return left.begin < right.begin;
            });
  std::size_t count = 0;
  for (const Chunk& chunk : this->chunks) count += chunk.records.size();
  std::vector<state::Record> records;
  records.reserve(count);
  for (Chunk& chunk : this->chunks) {
    std::move(chunk.records.begin(), chunk.records.end(),
              std::back_inserter(records));
  }
  this->chunks.clear();
  return records;
}

void AnswerMerger::Clear() {
  this->covered.Clear();
  this->chunks.clear();
}

}  // namespace banyanknot::coordination
