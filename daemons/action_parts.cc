#include "action_parts.h"

namespace banyanknot::daemons {

ActionParts::ActionParts(
    const state::HostIdentity& self, std::uint64_t origin,
    const coordination::Clock& clock, coordination::TimerService& timers,
    coordination::RandomSource& random, coordination::BackendClient& backend,
    const state::CatalogueTable& catalogue, const state::HostTable& hosts,
    coordination::ReplicaSelector& selector, coordination::ServerGate& gate,
    coordination::PeerLink& link)
    : tickets(self.self.id, origin, clock, random, {}),
      executor(clock, timers, backend, catalogue, selector, gate, policy,
               tickets),
      forwarder(self, clock, timers, link, hosts, catalogue, executor),
      metrics(tickets, executor),
      service(tickets, executor, forwarder, metrics) {}

}  // namespace banyanknot::daemons
