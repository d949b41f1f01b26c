#ifndef BANYANKNOT_COORDINATION_ACTIONS_TICKET_CLAIM_H_
#define BANYANKNOT_COORDINATION_ACTIONS_TICKET_CLAIM_H_

#include <array>
#include <string_view>

#include "banyanknot/state/action.h"
#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief Result kinds of TicketTable::Claim().
enum class ClaimKind {
  kStarted,   ///< first claim; the claimant must run the action
  kJoined,    ///< already running; the caller waits for the outcome
  kAnswered,  ///< the reply is known; nothing runs
};

/// \brief Names of ClaimKind, as they stand in messages and logs.
inline constexpr std::array<state::EnumName<ClaimKind>, 3> kClaimKindNames{{
    {ClaimKind::kStarted, "started"},
    {ClaimKind::kJoined, "joined"},
    {ClaimKind::kAnswered, "answered"},
}};

/// \brief Returns the name of a ClaimKind.
constexpr std::string_view NameOf(ClaimKind value) {
  return state::FindName(kClaimKindNames, value);
}

/// \brief Result of TicketTable::Claim().
struct TicketClaim {
  ClaimKind kind = ClaimKind::kAnswered;
  state::ActionReply reply;  ///< only for kAnswered
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ACTIONS_TICKET_CLAIM_H_
