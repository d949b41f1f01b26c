#ifndef BANYANKNOT_DAEMONS_FLEET_PARTS_H_
#define BANYANKNOT_DAEMONS_FLEET_PARTS_H_

#include <vector>

#include "banyanknot/Coordination"
#include "policy_set.h"

namespace banyanknot::daemons {

/// \brief The parts that agree with other hosts, constructed in order.
struct FleetParts {
  FleetParts(PolicySet policies, const coordination::Clock& clock,
             coordination::TimerService& timers,
             coordination::RandomSource& random,
             const state::HostIdentity& identity,
             const std::vector<state::Endpoint>& seeds,
             coordination::PeerLink& link,
             coordination::ConfigurationSource& configuration,
             coordination::HostListSource& host_list,
             state::CatalogueTable& catalogue, state::HostTable& hosts,
             coordination::CatalogueSink& keeper,
             coordination::AuditSink& audit);

  /// \brief The handlers of peers' messages, in the order that they need.
  std::vector<coordination::PeerHandler*> Handlers();

  /// \brief The follower of the policies that were asked for.
  coordination::CatalogueFollower& Follower();

  /// \brief Starts what runs at intervals.
  void Start();

  const PolicySet policies;
  coordination::ContactLog contacts;
  coordination::TableMembershipView view;
  coordination::PeerSelector selector;
  coordination::RateBudget budget;
  coordination::CatalogueAntiEntropy anti_entropy;
  coordination::GossipServerUpdateChannel server_updates;
  coordination::HostRegistry registry;
  coordination::Membership membership;
  coordination::HostListFollower list;
  coordination::PollingCatalogueFollower polling;
  coordination::SparseCatalogueFollower sparse;
  coordination::PauseDetector guard;
  coordination::StartReadiness readiness;
};

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_FLEET_PARTS_H_
