#ifndef BANYANKNOT_COORDINATION_AUDIT_KIND_H_
#define BANYANKNOT_COORDINATION_AUDIT_KIND_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief What an audit event reports.
enum class AuditKind {
  kEntryAccepted,  ///< a catalogue entry came into force on this host
  kEntryRefused,   ///< a catalogue entry was refused; the earlier one stays in
                   ///< force
  kEntryDeleted,   ///< a catalogue entry was deleted
  kEntryConflict,  ///< two contents under one revision; the one with the
                   ///< greater hash is in force
  kDomainState,    ///< a failure domain was taken out or put back in
  kServerPhase,    ///< a backend server changed its phase
  kHostState,      ///< another host changed its state
  kHostLifecycle,  ///< this host started, became ready or is stopping
};

/// \brief Names of AuditKind as written in messages and logs.
inline constexpr std::array<state::EnumName<AuditKind>, 8> kAuditKindNames{{
    {AuditKind::kEntryAccepted, "entry_accepted"},
    {AuditKind::kEntryRefused, "entry_refused"},
    {AuditKind::kEntryDeleted, "entry_deleted"},
    {AuditKind::kEntryConflict, "entry_conflict"},
    {AuditKind::kDomainState, "domain_state"},
    {AuditKind::kServerPhase, "server_phase"},
    {AuditKind::kHostState, "host_state"},
    {AuditKind::kHostLifecycle, "host_lifecycle"},
}};

/// \brief Returns the name of an AuditKind.
constexpr std::string_view NameOf(AuditKind value) {
  return state::FindName(kAuditKindNames, value);
}

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_AUDIT_KIND_H_
