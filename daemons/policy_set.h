#ifndef BANYANKNOT_DAEMONS_POLICY_SET_H_
#define BANYANKNOT_DAEMONS_POLICY_SET_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::daemons {

/// \brief Selects the policy implementations of a host.
enum class PolicySet {
  kFull,   ///< production
  kNaive,  ///< baseline: random replica; no hedges, connection shares or slow
           ///< start
};

/// \brief Names of PolicySet in settings and logs.
inline constexpr std::array<state::EnumName<PolicySet>, 2> kPolicySetNames{{
    {PolicySet::kFull, "full"},
    {PolicySet::kNaive, "naive"},
}};

/// \brief Returns the name of a PolicySet.
constexpr std::string_view NameOf(PolicySet value) {
  return state::FindName(kPolicySetNames, value);
}

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_POLICY_SET_H_
