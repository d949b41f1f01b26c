#include "fleet_parts.h"

namespace banyanknot::daemons {

FleetParts::FleetParts(
    PolicySet policies, const coordination::Clock& clock,
    coordination::TimerService& timers, coordination::RandomSource& random,
    const state::HostIdentity& identity,
    const std::vector<state::Endpoint>& seeds, coordination::PeerLink& link,
    coordination::ConfigurationSource& configuration,
    coordination::HostListSource& host_list, state::CatalogueTable& catalogue,
    state::HostTable& hosts, coordination::CatalogueSink& keeper,
    coordination::AuditSink& audit)
    : policies(policies),
      view(identity, hosts),
      selector(view, random),
      budget(clock, coordination::RateLimits()),
      anti_entropy(clock, view, selector, link, catalogue, keeper, contacts,
                   budget),
      server_updates(clock, view, selector, link, budget),
      registry(identity, clock, hosts, audit),
      membership(view, seeds, clock, timers, random, selector, link, registry,
                 anti_entropy, server_updates, contacts, budget),
      list(clock, timers, random, host_list, registry),
      polling(clock, timers, configuration, anti_entropy),
      sparse(clock, timers, random, configuration, anti_entropy, catalogue,
             view, contacts),
      guard(clock, timers, view, contacts, {&membership, &sparse}, audit),
      readiness(clock, view, anti_entropy, Follower(), contacts, audit) {}

std::vector<coordination::PeerHandler*> FleetParts::Handlers() {
  return {&this->membership, &this->anti_entropy, &this->server_updates};
}

coordination::CatalogueFollower& FleetParts::Follower() {
  if (this->policies == PolicySet::kNaive) return this->polling;
  return this->sparse;
}

void FleetParts::Start() {
  this->membership.Start();
  this->list.Start();
  this->Follower().Start();
  this->guard.Start();
}

}  // namespace banyanknot::daemons
