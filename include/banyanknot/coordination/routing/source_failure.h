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
  kEraChanged,   ///< the source has returned from a copy of its data
};

/// \brief Names of SourceFailure in messages and logs.
inline constexpr std::array<state::EnumName<SourceFailure>, 7>
    kSourceFailureNames{{
        {SourceFailure::kUnreachable, "unreachable"},
        {SourceFailure::kSilent, "silent"},
        {SourceFailure::kRefused, "refused"},
        {SourceFailure::kMalformed, "malformed"},
        {SourceFailure::kTooLarge, "too_large"},
        {SourceFailure::kHistoryGone, "history_gone"},
        {SourceFailure::kEraChanged, "era_changed"},
    }};

/// \brief Returns the name of a SourceFailure.
constexpr std::string_view NameOf(SourceFailure value) {
  return state::FindName(kSourceFailureNames, value);
}

/// \brief Tells whether the source answered, but can't continue from the
/// position that it was asked for: only a snapshot gets the newest state.
constexpr bool NeedsSnapshot(SourceFailure failure) {
  return failure == SourceFailure::kHistoryGone ||
         failure == SourceFailure::kEraChanged ||
         failure == SourceFailure::kTooLarge;
}

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_SOURCE_FAILURE_H_
