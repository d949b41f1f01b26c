#include "server_parts.h"

namespace banyanknot::daemons {

ServerParts::ServerParts(PolicySet policies, const coordination::Clock& clock,
                         coordination::TimerService& timers,
                         coordination::RandomSource& random,
                         const state::CatalogueTable& catalogue,
                         state::ServerTable& servers, state::HostTable& hosts,
                         const state::HostIdentity& self,
                         coordination::AuditSink& audit,
                         coordination::ServerNoteBoard& board)
    : policies(policies),
      open_gate(clock),
      view(self, hosts),
      roster(view),
      ownership(clock, roster, self.self.id, coordination::OwnershipTimes()),
      rules(coordination::ServerPhaseBounds()),
      journal(audit, board),
      receiver(clock, servers, rules, journal),
      backoff(random, coordination::BackoffTimes()),
      slots(coordination::SlotLimits()),
      domains(catalogue),
      fleet_gate(clock, servers, domains, ownership, slots, backoff, rules,
                 journal),
      upkeep(clock, timers, catalogue, servers, ownership, rules, journal) {
  board.Subscribe(this->receiver);
}

coordination::ServerGate& ServerParts::Gate() {
  if (this->policies == PolicySet::kNaive) return this->open_gate;
  return this->fleet_gate;
}

void ServerParts::Start() { this->upkeep.Start(); }

}  // namespace banyanknot::daemons
