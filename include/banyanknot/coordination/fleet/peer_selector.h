#ifndef BANYANKNOT_COORDINATION_FLEET_PEER_SELECTOR_H_
#define BANYANKNOT_COORDINATION_FLEET_PEER_SELECTOR_H_

#include <cstddef>
#include <vector>

#include "banyanknot/coordination/membership_view.h"
#include "banyanknot/coordination/random_source.h"

namespace banyanknot::coordination {

/// \brief Chooses peers at random for messages that spread from host to host.
///
/// Thread-safe.
class PeerSelector {
 public:
  PeerSelector(const MembershipView& view, RandomSource& random)
      : view(view), random(random) {}

  /// \brief Up to `count` different reachable hosts.
  /// \param except left out
  std::vector<state::HostRecord> Pick(std::size_t count,
                                      const state::HostId& except);

  /// \brief Up to `count` different reachable hosts of this host's own failure
  /// domain.
  std::vector<state::HostRecord> PickNear(std::size_t count,
                                          const state::HostId& except);

  /// \brief Up to `count` different reachable hosts of other failure domains;
  /// of any, if there are no others.
  std::vector<state::HostRecord> PickFar(std::size_t count);

  /// \brief One reachable host of each other failure domain.
  std::vector<state::HostRecord> PickOnePerOtherDomain(
      const state::HostId& except);

  /// \brief The hosts that news is passed on to: a few of this host's own
  /// failure domain and one of each other.
  std::vector<state::HostRecord> PickGossipTargets(const state::HostId& except);

 private:
  std::vector<state::HostRecord> Shuffled(const state::HostId& except);

  const MembershipView& view;
  RandomSource& random;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_FLEET_PEER_SELECTOR_H_
