#include "banyanknot/coordination/query/answer_merger.h"

#include <catch2/catch.hpp>
#include <limits>
#include <vector>

namespace banyanknot::coordination {
namespace {

std::vector<state::Record> RecordsOf(const state::KeyRange& range) {
  std::vector<state::Record> records;
  for (std::uint64_t key = range.begin; key < range.end; ++key) {
    records.push_back({key, "v"});
  }
  return records;
}

std::vector<std::uint64_t> TakeKeys(AnswerMerger& merger) {
  std::vector<std::uint64_t> keys;
  for (const state::Record& record : merger.TakeRecords()) {
    keys.push_back(record.key);
  }
  return keys;
}

TEST_CASE("AnswerMerger counts each key of overlapping replies once") {
  AnswerMerger merger;
  CHECK(merger.Merge({4, 6}, RecordsOf({4, 6})));
  CHECK(merger.Merge({0, 8}, RecordsOf({0, 8})));
  CHECK_FALSE(merger.Merge({2, 5}, RecordsOf({2, 5})));
  CHECK(merger.CoverageOf({0, 16}) == 0.5);
  CHECK(merger.MissingFrom({0, 16}) == std::vector<state::KeyRange>{{8, 16}});
  CHECK(TakeKeys(merger) == std::vector<std::uint64_t>{0, 1, 2, 3, 4, 5, 6, 7});
}

TEST_CASE("AnswerMerger sorts records that arrive out of order") {
  AnswerMerger merger;
  std::vector<state::Record> records = RecordsOf({10, 14});
  std::swap(records.front(), records.back());
  merger.Merge({10, 14}, records);
  merger.Merge({0, 2}, RecordsOf({0, 2}));
  CHECK(TakeKeys(merger) == std::vector<std::uint64_t>{0, 1, 10, 11, 12, 13});
}

TEST_CASE("AnswerMerger coverage is less than 1 while a key is missing") {
  constexpr std::uint64_t kMax = std::numeric_limits<std::uint64_t>::max();
  AnswerMerger merger;
  merger.Merge({0, kMax - 1}, {});
  CHECK(merger.CoverageOf({0, kMax}) < 1);
  merger.Merge({kMax - 1, kMax}, {});
  CHECK(merger.CoverageOf({0, kMax}) == 1);
}

}  // namespace
}  // namespace banyanknot::coordination
