#ifndef BANYANKNOT_COORDINATION_QUERY_REPLY_MATCHER_H_
#define BANYANKNOT_COORDINATION_QUERY_REPLY_MATCHER_H_

#include <cstdint>

#include "banyanknot/state/reply_verdict.h"
#include "banyanknot/state/sub_request.h"

namespace banyanknot::coordination {

/// \brief What a reply must echo to count as the reply to an attempt.
struct ExpectedReply {
  state::RequestId request;
  std::uint32_t attempt = 0;
  std::uint32_t shard = 0;
  std::uint64_t snapshot = 0;  ///< 0 accepts any that is not 0
  state::KeyRange range;
};

/// \brief Tells whether a reply is about the attempt at all.
bool IsReplyTo(const ExpectedReply& expected, const state::SubReply& reply);

/// \brief Judges a reply by what was asked.
/// \returns kMerged or kPartial if it may be merged; otherwise why not
state::ReplyVerdict MatchReply(const ExpectedReply& expected,
                               const state::SubReply& reply);

/// \brief Tells whether a status proves that the server did not run it.
constexpr bool IsProvenNotRun(state::ReplyStatus status) {
  return status == state::ReplyStatus::kShed ||
         status == state::ReplyStatus::kDraining ||
         status == state::ReplyStatus::kSnapshotMissing ||
         status == state::ReplyStatus::kWrongShard;
}

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_REPLY_MATCHER_H_
