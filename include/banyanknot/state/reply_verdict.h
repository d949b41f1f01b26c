#ifndef BANYANKNOT_STATE_REPLY_VERDICT_H_
#define BANYANKNOT_STATE_REPLY_VERDICT_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::state {

/// \brief How the result of one attempt was handled.
enum class ReplyVerdict {
  kMerged,         ///< merged for the whole requested range
  kPartial,        ///< truncated: merged for the part that it covers
  kLate,           ///< arrived after its query had ended or restarted
  kDuplicate,      ///< the attempt has a result, or the keys are answered
  kMismatched,     ///< identifies another request, attempt or shard
  kWrongSnapshot,  ///< from another snapshot than the answer's
  kWrongRange,     ///< covers no keys, or keys outside the request
  kBadRecords,     ///< holds keys outside its covered range, or a key twice
  kRefused,        ///< the server reports that it did not answer
  kNoReply,        ///< the attempt failed without a reply
};

/// \brief Names of ReplyVerdict as written in messages and logs.
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
