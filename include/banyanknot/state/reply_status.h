#ifndef BANYANKNOT_STATE_REPLY_STATUS_H_
#define BANYANKNOT_STATE_REPLY_STATUS_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::state {

/// \brief Status that a backend server reports for a sub-request.
enum class ReplyStatus {
  kOk,               ///< ran; records and covered range are valid
  kShed,             ///< refused before running: overloaded
  kDraining,         ///< refused before running: leaving
  kSnapshotMissing,  ///< refused before running: does not hold that snapshot
  kWrongShard,       ///< refused before running: does not hold that shard
  kDeadline,         ///< stopped: the remaining time was too short
  kCancelled,        ///< stopped by a cancellation
  kFailed,           ///< ran and failed
};

/// \brief Names of ReplyStatus as written in messages and logs.
inline constexpr std::array<state::EnumName<ReplyStatus>, 8> kReplyStatusNames{{
    {ReplyStatus::kOk, "ok"},
    {ReplyStatus::kShed, "shed"},
    {ReplyStatus::kDraining, "draining"},
    {ReplyStatus::kSnapshotMissing, "snapshot_missing"},
    {ReplyStatus::kWrongShard, "wrong_shard"},
    {ReplyStatus::kDeadline, "deadline"},
    {ReplyStatus::kCancelled, "cancelled"},
    {ReplyStatus::kFailed, "failed"},
}};

/// \brief Returns the name of a ReplyStatus.
constexpr std::string_view NameOf(ReplyStatus value) {
  return state::FindName(kReplyStatusNames, value);
}

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_REPLY_STATUS_H_
