#ifndef BANYANKNOT_COORDINATION_VIEW_FRESHNESS_H_
#define BANYANKNOT_COORDINATION_VIEW_FRESHNESS_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief How far this host's view of catalogue and fleet may be relied on.
enum class ViewFreshness {
  kFresh,          ///< confirmed lately by the platform or by peers
  kStale,          ///< may be old; being refreshed; start no new work
  kOwnDomainOnly,  ///< could not be refreshed in time; start new work only in
                   ///< this host's own failure domain
};

/// \brief Names of ViewFreshness, as they stand in messages and logs.
inline constexpr std::array<state::EnumName<ViewFreshness>, 3>
    kViewFreshnessNames{{
        {ViewFreshness::kFresh, "trusted"},
        {ViewFreshness::kStale, "suspect"},
        {ViewFreshness::kOwnDomainOnly, "own_domain_only"},
    }};

/// \brief Returns the name of a ViewFreshness.
constexpr std::string_view NameOf(ViewFreshness value) {
  return state::FindName(kViewFreshnessNames, value);
}

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_VIEW_FRESHNESS_H_
