#ifndef BANYANKNOT_DAEMONS_ACTION_PARTS_H_
#define BANYANKNOT_DAEMONS_ACTION_PARTS_H_

#include <cstdint>

#include "action_service.h"
#include "banyanknot/Coordination"

namespace banyanknot::daemons {

/// \brief Components that run actions, requests that must not be repeated, in
/// order of construction.
struct ActionParts {
  /// \param origin random number, unique to the tickets of this incarnation
  ActionParts(const state::HostIdentity& self, std::uint64_t origin,
              const coordination::Clock& clock,
              coordination::TimerService& timers,
              coordination::RandomSource& random,
              coordination::BackendClient& backend,
              const state::CatalogueTable& catalogue,
              const state::HostTable& hosts,
              coordination::ReplicaSelector& selector,
              coordination::ServerGate& gate, coordination::PeerLink& link);

  coordination::TicketTable tickets;
  coordination::AtMostOncePolicy policy;
  coordination::ActionExecutor executor;
  coordination::ActionForwarder forwarder;
  coordination::ActionMetrics metrics;
  ActionService service;
};

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_ACTION_PARTS_H_
