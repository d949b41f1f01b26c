#ifndef BANYANKNOT_DAEMONS_FLEET_PARTS_H_
#define BANYANKNOT_DAEMONS_FLEET_PARTS_H_

#include <vector>

#include "banyanknot/Coordination"
#include "policy_set.h"

namespace banyanknot::daemons {

/// \brief Components for membership, gossip and the catalogue, in order of
/// construction.
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
             coordination::CatalogueSink& sink, coordination::AuditSink& audit);

  /// \brief Returns the handlers of peer messages, in the required order.
  std::vector<coordination::PeerHandler*> Handlers();

  /// \brief Returns the catalogue follower of the PolicySet.
  coordination::CatalogueFollower& Follower();

  /// \brief Starts the periodic tasks.
  void Start();

  const PolicySet policies;
  coordination::ContactLog contacts;
  coordination::TableMembershipView view;
  coordination::PeerSelector selector;
  coordination::RateBudget budget;
  coordination::CatalogueAntiEntropy anti_entropy;
  coordination::GossipServerUpdateChannel update_channel;
  coordination::HostRegistry registry;
  coordination::Membership membership;
  coordination::HostListFollower host_list_follower;
  coordination::PollingCatalogueFollower polling_follower;
  coordination::SparseCatalogueFollower sparse_follower;
  coordination::PauseDetector pause_detector;
  coordination::StartReadiness readiness;
};

}  // namespace banyanknot::daemons

#endif  // BANYANKNOT_DAEMONS_FLEET_PARTS_H_
