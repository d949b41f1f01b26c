#ifndef BANYANKNOT_COORDINATION_GATE_REFUSAL_H_
#define BANYANKNOT_COORDINATION_GATE_REFUSAL_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief Why a server may not get new work from this host now.
enum class GateRefusal {
  kDomainOut,     ///< its failure domain was taken out
  kLeaving,       ///< this instance is shutting down, or not in the catalogue
  kColdNotOwner,  ///< cold, and other hosts own its cold slots
  kColdBusy,      ///< cold, and this host's cold slots are in use
  kColdExtra,     ///< cold servers get no hedges or retries
  kBusy,          ///< this host's share of its slots is in use
  kViewSuspect,   ///< this host's membership view is stale
  kUnreachable,   ///< in connection backoff
};

/// \brief Names of GateRefusal, as they stand in messages and logs.
inline constexpr std::array<state::EnumName<GateRefusal>, 8> kGateRefusalNames{{
    {GateRefusal::kDomainOut, "domain_out"},
    {GateRefusal::kLeaving, "leaving"},
    {GateRefusal::kColdNotOwner, "cold_not_owner"},
    {GateRefusal::kColdBusy, "cold_busy"},
    {GateRefusal::kColdExtra, "cold_extra"},
    {GateRefusal::kBusy, "busy"},
    {GateRefusal::kViewSuspect, "view_suspect"},
    {GateRefusal::kUnreachable, "unreachable"},
}};

/// \brief Returns the name of a GateRefusal.
constexpr std::string_view NameOf(GateRefusal value) {
  return state::FindName(kGateRefusalNames, value);
}

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_GATE_REFUSAL_H_
