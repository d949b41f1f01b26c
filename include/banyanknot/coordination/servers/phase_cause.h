#ifndef BANYANKNOT_COORDINATION_SERVERS_PHASE_CAUSE_H_
#define BANYANKNOT_COORDINATION_SERVERS_PHASE_CAUSE_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief Why a backend server changed its phase.
enum class PhaseCause {
  kNewInstance,      ///< an instance that was not known before answered
  kConnectionLost,   ///< it closed a connection; it may have restarted
  kSlowReplies,      ///< replies became much slower without load
  kLostWarmth,       ///< its replies say that it is no longer warm
  kStrained,         ///< it refused or slowed down on the ramp
  kDomainReturned,   ///< its failure domain was put back
  kListedAgain,      ///< its catalogue entry came back
  kConfirmed,        ///< the same instance answered again
  kRepliesInTime,    ///< enough replies in time, at trial load
  kWarmUpPassed,     ///< its warm-up time passed and it answers in time
  kReportedLeaving,  ///< its reply or health says that it leaves
  kPeerUpdate,       ///< another host learnt it
};

/// \brief Names of PhaseCause, as they stand in messages and logs.
inline constexpr std::array<state::EnumName<PhaseCause>, 12> kPhaseCauseNames{{
    {PhaseCause::kNewInstance, "new_instance"},
    {PhaseCause::kConnectionLost, "connection_lost"},
    {PhaseCause::kSlowReplies, "slow_replies"},
    {PhaseCause::kLostWarmth, "lost_warmth"},
    {PhaseCause::kStrained, "strained"},
    {PhaseCause::kDomainReturned, "domain_returned"},
    {PhaseCause::kListedAgain, "listed_again"},
    {PhaseCause::kConfirmed, "confirmed"},
    {PhaseCause::kRepliesInTime, "replies_in_time"},
    {PhaseCause::kWarmUpPassed, "warm_up_passed"},
    {PhaseCause::kReportedLeaving, "reported_leaving"},
    {PhaseCause::kPeerUpdate, "note_of_peer"},
}};

/// \brief Returns the name of a PhaseCause.
constexpr std::string_view NameOf(PhaseCause value) {
  return state::FindName(kPhaseCauseNames, value);
}

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_PHASE_CAUSE_H_
