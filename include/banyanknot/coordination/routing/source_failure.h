#ifndef BANYANKNOT_COORDINATION_ROUTING_SOURCE_FAILURE_H_
#define BANYANKNOT_COORDINATION_ROUTING_SOURCE_FAILURE_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief Why a call to a RoutingSource failed.
enum class SourceFailure {
  kUnreachable,  ///< no connection
  kSilent,       ///< no response in time
  kRefused,      ///< the call was rejected
  kMalformed,    ///< the response could not be decoded
  kTooLarge,     ///< the response exceeds its size limit
  kHistoryGone,  ///< the revision has been compacted
};

/// \brief Names of SourceFailure in messages and logs.
inline constexpr std::array<state::EnumName<SourceFailure>, 6>
    kSourceFailureNames{{
        {SourceFailure::kUnreachable, "unreachable"},
        {SourceFailure::kSilent, "silent"},
        {SourceFailure::kRefused, "refused"},
        {SourceFailure::kMalformed, "malformed"},
        {SourceFailure::kTooLarge, "too_large"},
        {SourceFailure::kHistoryGone, "history_gone"},
    }};

/// \brief Returns the name of a SourceFailure.
constexpr std::string_view NameOf(SourceFailure value) {
  return state::FindName(kSourceFailureNames, value);
}

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_SOURCE_FAILURE_H_
