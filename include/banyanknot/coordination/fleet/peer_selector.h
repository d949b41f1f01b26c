#ifndef BANYANKNOT_COORDINATION_FLEET_PEER_SELECTOR_H_
#define BANYANKNOT_COORDINATION_FLEET_PEER_SELECTOR_H_

#include <cstddef>
#include <vector>

#include "banyanknot/coordination/membership_view.h"
#include "banyanknot/coordination/random_source.h"

namespace banyanknot::coordination {

/// \brief Selects random peers as gossip targets.
///
/// Thread-safe.
class PeerSelector {
 public:
  PeerSelector(const MembershipView& view, RandomSource& random)
      : view(view), random(random) {}

  /// \brief Returns up to `count` distinct reachable hosts other than
  /// `excluded`.
  std::vector<state::HostRecord> Pick(std::size_t count,
                                      const state::HostId& excluded);

  /// \brief Returns up to `count` distinct reachable hosts of this host's own
  /// failure domain.
  std::vector<state::HostRecord> PickInOwnDomain(std::size_t count,
                                                 const state::HostId& excluded);

  /// \brief Returns up to `count` distinct reachable hosts of other failure
  /// domains, or of any domain if no other has one.
  std::vector<state::HostRecord> PickInOtherDomains(std::size_t count);

  /// \brief Returns one reachable host of each other failure domain.
  std::vector<state::HostRecord> PickOnePerOtherDomain(
      const state::HostId& excluded);

  /// \brief Returns the targets of an immediate message: a few hosts of this
  /// host's own failure domain and one of each other domain.
  std::vector<state::HostRecord> PickGossipTargets(
      const state::HostId& excluded);

 private:
  std::vector<state::HostRecord> Shuffled(const state::HostId& excluded);

  const MembershipView& view;
  RandomSource& random;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_FLEET_PEER_SELECTOR_H_
