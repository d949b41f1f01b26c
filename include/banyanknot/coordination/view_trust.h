#ifndef BANYANKNOT_COORDINATION_VIEW_TRUST_H_
#define BANYANKNOT_COORDINATION_VIEW_TRUST_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief How far this host's view of catalogue and fleet may be relied on.
enum class ViewTrust {
  kTrusted,        ///< confirmed lately by the platform or by peers
  kSuspect,        ///< may be old; being refreshed; start no new work
  kOwnDomainOnly,  ///< could not be refreshed in time; start new work only in
                   ///< this host's own failure domain
};

/// \brief Names of ViewTrust, as they stand in messages and logs.
inline constexpr std::array<state::EnumName<ViewTrust>, 3> kViewTrustNames{{
    {ViewTrust::kTrusted, "trusted"},
    {ViewTrust::kSuspect, "suspect"},
    {ViewTrust::kOwnDomainOnly, "own_domain_only"},
}};

/// \brief Returns the name of a ViewTrust.
constexpr std::string_view NameOf(ViewTrust value) {
  return state::FindName(kViewTrustNames, value);
}

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_VIEW_TRUST_H_
