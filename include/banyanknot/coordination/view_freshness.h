#ifndef BANYANKNOT_COORDINATION_VIEW_FRESHNESS_H_
#define BANYANKNOT_COORDINATION_VIEW_FRESHNESS_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief Freshness of this host's view of the catalogue and the fleet.
enum class ViewFreshness {
  kFresh,          ///< recently confirmed by the platform or peers
  kStale,          ///< possibly outdated, being refreshed; no new work
  kOwnDomainOnly,  ///< refresh timed out; new work only in this host's own
                   ///< failure domain
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
