#ifndef BANYANKNOT_STATE_TICKET_STATE_H_
#define BANYANKNOT_STATE_TICKET_STATE_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::state {

/// \brief State of a ticket; it only moves down this list.
enum class TicketState {
  kIssued,   ///< not used yet
  kRunning,  ///< its action runs; repeated requests wait for it
  kDone,     ///< the outcome is final and retained
};

/// \brief Names of TicketState as written in messages and logs.
inline constexpr std::array<state::EnumName<TicketState>, 3> kTicketStateNames{{
    {TicketState::kIssued, "issued"},
    {TicketState::kRunning, "running"},
    {TicketState::kDone, "done"},
}};

/// \brief Returns the name of a TicketState.
constexpr std::string_view NameOf(TicketState value) {
  return state::FindName(kTicketStateNames, value);
}

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_TICKET_STATE_H_
