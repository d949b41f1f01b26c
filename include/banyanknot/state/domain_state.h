#ifndef BANYANKNOT_STATE_DOMAIN_STATE_H_
#define BANYANKNOT_STATE_DOMAIN_STATE_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::state {

/// \brief Whether a failure domain may receive new work.
enum class DomainState {
  kIn,   ///< may get new work
  kOut,  ///< taken out by operators; gets no new work
};

/// \brief Names of DomainState as written in messages and logs.
inline constexpr std::array<state::EnumName<DomainState>, 2> kDomainStateNames{{
    {DomainState::kIn, "in"},
    {DomainState::kOut, "out"},
}};

/// \brief Returns the name of a DomainState.
constexpr std::string_view NameOf(DomainState value) {
  return state::FindName(kDomainStateNames, value);
}

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_DOMAIN_STATE_H_
