#ifndef BANYANKNOT_DAEMONS_POLICY_SET_H_
#define BANYANKNOT_DAEMONS_POLICY_SET_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::daemons {

/// \brief Which implementations of the policies a host runs.
enum class PolicySet {
  kFull,   ///< the product's policies
  kNaive,  ///< the baseline: random replica, no hedge, no share, no ramp
};

/// \brief Names of PolicySet, as they stand in messages and logs.
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
