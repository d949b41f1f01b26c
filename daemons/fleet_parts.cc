#include "fleet_parts.h"

namespace banyanknot::daemons {

FleetParts::FleetParts(
    PolicySet policies, const coordination::Clock& clock,
    coordination::TimerService& timers, coordination::RandomSource& random,
    const state::HostIdentity& identity,
    const std::vector<state::Endpoint>& seeds, coordination::PeerLink& link,
    coordination::ConfigurationSource& configuration,
    coordination::HostListSource& host_list, state::CatalogueTable& catalogue,
    state::HostTable& hosts, coordination::CatalogueSink& sink,
    coordination::AuditSink& audit)
    : policies(policies),
      view(identity, hosts),
      selector(view, random),
      budget(clock, coordination::RateLimits()),
      anti_entropy(clock, view, selector, link, catalogue, sink, contacts,
                   budget),
      update_channel(clock, view, selector, link, budget),
      registry(identity, clock, hosts, audit),
      membership(view, seeds, clock, timers, random, selector, link, registry,
                 anti_entropy, update_channel, contacts, budget),
      host_list_follower(clock, timers, random, host_list, registry),
      polling_follower(clock, timers, configuration, anti_entropy),
      sparse_follower(clock, timers, random, configuration, anti_entropy,
                      catalogue, view, contacts),
      pause_detector(clock, timers, view, contacts,
                     {&membership, &sparse_follower}, audit),
      readiness(clock, view, anti_entropy, Follower(), contacts, audit) {}

std::vector<coordination::PeerHandler*> FleetParts::Handlers() {
  return {&this->membership, &this->anti_entropy, &this->update_channel};
}

coordination::CatalogueFollower& FleetParts::Follower() {
  if (this->policies == PolicySet::kNaive) return this->polling_follower;
  return this->sparse_follower;
}

void FleetParts::Start() {
  this->membership.Start();
  this->host_list_follower.Start();
  this->Follower().Start();
  this->pause_detector.Start();
}

}  // namespace banyanknot::daemons
