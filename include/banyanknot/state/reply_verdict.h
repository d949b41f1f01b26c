#ifndef BANYANKNOT_STATE_REPLY_VERDICT_H_
#define BANYANKNOT_STATE_REPLY_VERDICT_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::state {

/// \brief What became of the result of one attempt.
enum class ReplyVerdict {
  kMerged,         ///< merged for all that was asked
  kPartial,        ///< truncated: merged for the part that it covers
  kLate,           ///< came after its query had ended or had started again
  kDuplicate,      ///< the attempt had its result, or the keys are answered
  kMismatched,     ///< echoes another request, attempt or shard
  kWrongSnapshot,  ///< from another snapshot than the answer's
  kWrongRange,     ///< covers nothing, or keys that were not asked for
  kBadRecords,     ///< holds keys outside its covered range, or a key twice
  kRefused,        ///< the server says that it did not answer
  kNoReply,        ///< the attempt failed without a reply
};

/// \brief Names of ReplyVerdict, as they stand in messages and logs.
inline constexpr std::array<state::EnumName<ReplyVerdict>, 10>
    kReplyVerdictNames{{
        {ReplyVerdict::kMerged, "merged"},
        {ReplyVerdict::kPartial, "partial"},
        {ReplyVerdict::kLate, "late"},
        {ReplyVerdict::kDuplicate, "repeated"},
        {ReplyVerdict::kMismatched, "crossed"},
        {ReplyVerdict::kWrongSnapshot, "wrong_snapshot"},
        {ReplyVerdict::kWrongRange, "wrong_range"},
        {ReplyVerdict::kBadRecords, "bad_records"},
        {ReplyVerdict::kRefused, "refused"},
        {ReplyVerdict::kNoReply, "no_reply"},
    }};

/// \brief Returns the name of a ReplyVerdict.
constexpr std::string_view NameOf(ReplyVerdict value) {
  return state::FindName(kReplyVerdictNames, value);
}

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_REPLY_VERDICT_H_
