#ifndef BANYANKNOT_COORDINATION_QUERY_REPLY_MATCHER_H_
#define BANYANKNOT_COORDINATION_QUERY_REPLY_MATCHER_H_

#include <cstdint>

#include "banyanknot/state/reply_verdict.h"
#include "banyanknot/state/sub_request.h"

namespace banyanknot::coordination {

/// \brief The fields that a reply to an attempt must echo.
struct ExpectedReply {
  state::RequestId request;
  std::uint32_t attempt = 0;
  std::uint32_t shard = 0;
  std::uint64_t snapshot = 0;  ///< 0 accepts any but 0
  state::KeyRange range;
};

/// \brief Tells whether a reply echoes the request, attempt and shard.
bool IsReplyTo(const ExpectedReply& expected, const state::SubReply& reply);

/// \brief Validates a reply against its attempt.
/// \returns kMerged or kPartial if it may be merged; otherwise the reason it
/// is rejected
state::ReplyVerdict MatchReply(const ExpectedReply& expected,
                               const state::SubReply& reply);

/// \brief Tells whether a status proves that the sub-request did not run.
constexpr bool IsProvenNotRun(state::ReplyStatus status) {
  return status == state::ReplyStatus::kShed ||
         status == state::ReplyStatus::kDraining ||
         status == state::ReplyStatus::kSnapshotMissing ||
         status == state::ReplyStatus::kWrongShard;
}

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_REPLY_MATCHER_H_
