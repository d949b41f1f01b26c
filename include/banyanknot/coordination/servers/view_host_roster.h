#ifndef BANYANKNOT_COORDINATION_SERVERS_VIEW_HOST_ROSTER_H_
#define BANYANKNOT_COORDINATION_SERVERS_VIEW_HOST_ROSTER_H_

#include <vector>

#include "banyanknot/coordination/membership_view.h"
#include "banyanknot/coordination/servers/host_roster.h"

namespace banyanknot::coordination {

/// \brief Reads the roster from this host's membership view.
class ViewHostRoster : public HostRoster {
 public:
  explicit ViewHostRoster(const MembershipView& view) : view(view) {}

  std::vector<state::HostId> EligibleHosts(
      const state::FailureDomainId& domain) const override;
  std::size_t HostCount() const override;

 private:
  const MembershipView& view;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_VIEW_HOST_ROSTER_H_
