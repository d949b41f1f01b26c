#ifndef BANYANKNOT_COORDINATION_ROUTING_SOURCE_FAILURE_H_
#define BANYANKNOT_COORDINATION_ROUTING_SOURCE_FAILURE_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief Why a RoutingSource gave nothing.
enum class SourceFailure {
  kUnreachable,  ///< no connection
  kSilent,       ///< no answer in time
  kRefused,      ///< it turned the call away
  kMalformed,    ///< the answer can't be read
  kHistoryGone,  ///< changes since that revision are no longer known
};

/// \brief Names of SourceFailure, as they stand in messages and logs.
inline constexpr std::array<state::EnumName<SourceFailure>, 5>
    kSourceFailureNames{{
        {SourceFailure::kUnreachable, "unreachable"},
        {SourceFailure::kSilent, "silent"},
        {SourceFailure::kRefused, "refused"},
        {SourceFailure::kMalformed, "malformed"},
        {SourceFailure::kHistoryGone, "history_gone"},
    }};

/// \brief Returns the name of a SourceFailure.
constexpr std::string_view NameOf(SourceFailure value) {
  return state::FindName(kSourceFailureNames, value);
}

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_SOURCE_FAILURE_H_
