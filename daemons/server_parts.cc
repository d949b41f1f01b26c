#include "server_parts.h"

namespace banyanknot::daemons {
namespace {

constexpr coordination::ConnectionShare kNaiveConnectionShare = {2, 2};

}  // namespace

ServerParts::ServerParts(PolicySet policies, const coordination::Clock& clock,
                         coordination::TimerService& timers,
                         coordination::RandomSource& random,
                         const state::CatalogueTable& catalogue,
                         state::ServerTable& servers,
                         const coordination::MembershipView& view,
                         coordination::ViewGuard& guard,
                         coordination::AuditSink& audit,
                         coordination::ServerUpdateChannel& update_channel,
                         coordination::PeerLink& link)
    : policies(policies),
      open_gate(clock),
      roster(view),
      ownership(clock, roster, view.Self().self.id,
                coordination::OwnershipTimes()),
      rules(coordination::ServerPhaseThresholds()),
      journal(audit, update_channel),
      receiver(clock, servers, rules, journal),
      backoff(random, coordination::BackoffOptions()),
      slots(coordination::SlotLimits()),
      catalogue_domains(catalogue),
      domains(guard, view.Self().self.domain, catalogue_domains),
      fleet_gate(clock, servers, domains, ownership, slots, backoff, rules,
                 journal),
      reconciler(clock, timers, catalogue, servers, ownership, rules, journal),
      join_state_transfer(clock, timers, servers, view, link),
      fixed_shares(kNaiveConnectionShare),
      fleet_shares(servers, roster) {
  update_channel.Subscribe(this->receiver);
}

coordination::ServerGate& ServerParts::Gate() {
  if (this->policies == PolicySet::kNaive) return this->open_gate;
  return this->fleet_gate;
}

const coordination::ConnectionShares& ServerParts::Shares() const {
  if (this->policies == PolicySet::kNaive) return this->fixed_shares;
  return this->fleet_shares;
}

void ServerParts::Start() {
  this->reconciler.Start();
  this->join_state_transfer.Start();
}

}  // namespace banyanknot::daemons
