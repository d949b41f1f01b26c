#include "banyanknot/coordination/query/reply_matcher.h"

#include <algorithm>
#include <vector>

namespace banyanknot::coordination {
namespace {

bool IsStrictlyOrdered(const std::vector<state::Record>& records) {
  for (std::size_t index = 1; index < records.size(); ++index) {
    if (records[index - 1].key >= records[index].key) return false;
  }
  return true;
}

bool HasRepeatedKey(const std::vector<state::Record>& records) {
  if (IsStrictlyOrdered(records)) return false;
  std::vector<std::uint64_t> keys;
  keys.reserve(records.size());
  for (const state::Record& record : records) keys.push_back(record.key);
  std::sort(keys.begin(), keys.end());
  for (std::size_t index = 1; index < keys.size(); ++index) {
    if (keys[index - 1] == keys[index]) return true;
  }
  return false;
}

bool HasGoodRecords(const state::SubReply& reply) {
  for (const state::Record& record : reply.records) {
    if (!reply.covered.Contains(record.key)) return false;
  }
  return !HasRepeatedKey(reply.records);
}

}  // namespace

bool IsReplyTo(const ExpectedReply& expected, const state::SubReply& reply) {
  return reply.request == expected.request &&
         reply.attempt == expected.attempt && reply.shard == expected.shard;
}

state::ReplyVerdict MatchReply(const ExpectedReply& expected,
                               const state::SubReply& reply) {
  using state::ReplyVerdict;
  if (!IsReplyTo(expected, reply)) return ReplyVerdict::kMismatched;
  if (reply.status != state::ReplyStatus::kOk) return ReplyVerdict::kRefused;
  const bool is_same_snapshot = expected.snapshot == 0
                                    ? reply.snapshot != 0
                                    : reply.snapshot == expected.snapshot;
  if (!is_same_snapshot) return ReplyVerdict::kWrongSnapshot;
  if (reply.covered.IsEmpty() || !expected.range.Contains(reply.covered)) {
    return ReplyVerdict::kWrongRange;
  }
  if (!HasGoodRecords(reply)) return ReplyVerdict::kBadRecords;
  return reply.covered == expected.range ? ReplyVerdict::kMerged
                                         : ReplyVerdict::kPartial;
}

}  // namespace banyanknot::coordination
