#include "banyanknot/coordination/servers/view_host_roster.h"

namespace banyanknot::coordination {

std::vector<state::HostId> ViewHostRoster::EligibleHosts(
    const state::FailureDomainId& domain) const {
  const state::HostIdentity& self = this->view.Self();
  bool has_own = self.self.domain == domain;
  std::vector<state::HostId> listed{self.self.id};
  for (const state::HostRecord& host : this->view.Hosts()) {
    if (!host.is_listed) continue;
    listed.push_back(host.listed.id);
    has_own = has_own || host.listed.domain == domain;
  }
  return has_own ? this->view.ActiveHostsIn(domain) : listed;
}

std::size_t ViewHostRoster::HostCount() const {
  return this->view.ReachableHosts().size() + 1;
}

}  // namespace banyanknot::coordination
