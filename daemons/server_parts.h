#ifndef BANYANKNOT_DAEMONS_SERVER_PARTS_H_
#define BANYANKNOT_DAEMONS_SERVER_PARTS_H_

#include "banyanknot/Coordination"
#include "policy_set.h"

namespace banyanknot::daemons {

/// \brief Components that track backend servers and admit requests to them, in
/// order of construction.
struct ServerParts {
  ServerParts(PolicySet policies, const coordination::Clock& clock,
              coordination::TimerService& timers,
              coordination::RandomSource& random,
              const state::CatalogueTable& catalogue,
              state::ServerTable& servers,
              const coordination::MembershipView& view,
              coordination::ViewGuard& guard, coordination::AuditSink& audit,
              coordination::ServerUpdateChannel& update_channel,
              coordination::PeerLink& link);

  /// \brief Returns the gate of the PolicySet.
  coordination::ServerGate& Gate();

  /// \brief Returns the connection shares of the PolicySet.
  const coordination::ConnectionShares& Shares() const;

  /// \brief Starts the periodic tasks.
  void Start();

  const PolicySet policies;
  coordination::OpenServerGate open_gate;
  coordination::ViewHostRoster roster;
  coordination::RendezvousColdSlotOwnership ownership;
  coordination::ServerPhaseRules rules;
  coordination::ServerPhaseJournal journal;
  coordination::ServerUpdateReceiver receiver;
  coordination::ServerBackoff backoff;
  coordination::ReportedSlotLimiter slots;
  coordination::CatalogueDomainAdmission catalogue_domains;
  coordination::GuardedDomainAdmission domains;
  coordination::FleetServerGate fleet_gate;
  coordination::ServerTableReconciler reconciler;
  coordination::JoinStateTransfer join_state_transfer;
  coordination::FixedConnectionShares fixed_shares;
  coordination::FleetConnectionShares fleet_shares;
};

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_SERVER_PARTS_H_
