#include "server_parts.h"

namespace banyanknot::daemons {
namespace {

constexpr coordination::ConnectionShare kNaiveConnections = {2, 2};

}  // namespace

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
      upkeep(clock, timers, catalogue, servers, ownership, rules, journal),
      fixed_shares(kNaiveConnections),
      fleet_shares(servers, roster) {
  board.Subscribe(this->receiver);
}

coordination::ServerGate& ServerParts::Gate() {
  if (this->policies == PolicySet::kNaive) return this->open_gate;
  return this->fleet_gate;
}

const coordination::ConnectionShares& ServerParts::Shares() const {
  if (this->policies == PolicySet::kNaive) return this->fixed_shares;
  return this->fleet_shares;
}

void ServerParts::Start() { this->upkeep.Start(); }

}  // namespace banyanknot::daemons
