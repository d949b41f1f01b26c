#ifndef BANYANKNOT_COORDINATION_SERVERS_PHASE_CAUSE_H_
#define BANYANKNOT_COORDINATION_SERVERS_PHASE_CAUSE_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief Cause of a change of a backend server's phase.
enum class PhaseCause {
  kNewInstance,      ///< a reply came from an unknown instance
  kConnectionLost,   ///< the server closed a connection; it may have restarted
  kSlowReplies,      ///< replies became much slower without high load
  kReportedCold,     ///< its replies report that it is no longer warm
  kOverloaded,       ///< it shed, failed or slowed down during slow start
  kDomainReturned,   ///< its failure domain was marked as in again
  kRelisted,         ///< its catalogue entry was added again
  kConfirmed,        ///< the same instance replied after a suspicion
  kRepliesInTime,    ///< enough fast replies through all steps of slow start
  kWarmUpPassed,     ///< its warm-up time passed and it replies
  kReportedLeaving,  ///< a reply or health report says that it is leaving
  kPeerUpdate,       ///< another host reported it
};

/// \brief Names of PhaseCause, as they stand in messages and logs.
inline constexpr std::array<state::EnumName<PhaseCause>, 12> kPhaseCauseNames{{
    {PhaseCause::kNewInstance, "new_instance"},
    {PhaseCause::kConnectionLost, "connection_lost"},
    {PhaseCause::kSlowReplies, "slow_replies"},
    {PhaseCause::kReportedCold, "lost_warmth"},
    {PhaseCause::kOverloaded, "strained"},
    {PhaseCause::kDomainReturned, "domain_returned"},
    {PhaseCause::kRelisted, "listed_again"},
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
