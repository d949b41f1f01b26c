#ifndef BANYANKNOT_COORDINATION_ACTIONS_ACTION_VERDICT_H_
#define BANYANKNOT_COORDINATION_ACTIONS_ACTION_VERDICT_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief What the result of one attempt proves about the action.
enum class ActionVerdict {
  kRan,      ///< a server ran it
  kFailed,   ///< a server ran it and rejected it
  kRefused,  ///< no server ran it; a retry is safe
  kUnknown,  ///< a server may have run it
};

/// \brief Names of ActionVerdict, as they stand in messages and logs.
inline constexpr std::array<state::EnumName<ActionVerdict>, 4>
    kActionVerdictNames{{
        {ActionVerdict::kRan, "ran"},
        {ActionVerdict::kFailed, "failed"},
        {ActionVerdict::kRefused, "refused"},
        {ActionVerdict::kUnknown, "unknown"},
    }};

/// \brief Returns the name of an ActionVerdict.
constexpr std::string_view NameOf(ActionVerdict value) {
  return state::FindName(kActionVerdictNames, value);
}

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ACTIONS_ACTION_VERDICT_H_
