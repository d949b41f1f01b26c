#include "banyanknot/coordination/fleet/peer_selector.h"

#include <set>
#include <utility>

namespace banyanknot::coordination {
namespace {

constexpr std::size_t kOwnDomainFanout = 3;

}  // namespace

std::vector<state::HostRecord> PeerSelector::Shuffled(
    const state::HostId& excluded) {
  std::vector<state::HostRecord> hosts;
  for (state::HostRecord& host : this->view.ReachableHosts()) {
    if (host.listed.id != excluded) hosts.push_back(std::move(host));
  }
  for (std::size_t left = hosts.size(); left > 1; --left) {
    std::swap(hosts[left - 1], hosts[this->random.Below(left)]);
  }
  return hosts;
}

std::vector<state::HostRecord> PeerSelector::Pick(
    std::size_t count, const state::HostId& excluded) {
  std::vector<state::HostRecord> hosts = this->Shuffled(excluded);
  if (hosts.size() > count) hosts.resize(count);
  return hosts;
}

std::vector<state::HostRecord> PeerSelector::PickInOwnDomain(
    std::size_t count, const state::HostId& excluded) {
  std::vector<state::HostRecord> own_domain;
  for (state::HostRecord& host : this->Shuffled(excluded)) {
    if (own_domain.size() == count) break;
    if (host.listed.domain == this->view.Self().self.domain) {
      own_domain.push_back(std::move(host));
    }
  }
  return own_domain;
}

std::vector<state::HostRecord> PeerSelector::PickInOtherDomains(
    std::size_t count) {
  const state::HostId none_excluded;
  std::vector<state::HostRecord> others;
  for (state::HostRecord& host : this->Shuffled(none_excluded)) {
    if (others.size() == count) break;
    if (host.listed.domain != this->view.Self().self.domain) {
      others.push_back(std::move(host));
    }
  }
  return others.empty() ? this->Pick(count, none_excluded) : others;
}

std::vector<state::HostRecord> PeerSelector::PickOnePerOtherDomain(
    const state::HostId& excluded) {
  std::set<state::FailureDomainId> seen{this->view.Self().self.domain};
  std::vector<state::HostRecord> others;
  for (state::HostRecord& host : this->Shuffled(excluded)) {
    if (seen.insert(host.listed.domain).second) {
      others.push_back(std::move(host));
    }
  }
  return others;
}

std::vector<state::HostRecord> PeerSelector::PickGossipTargets(
    const state::HostId& excluded) {
  std::vector<state::HostRecord> hosts =
      this->PickInOwnDomain(kOwnDomainFanout, excluded);
  for (state::HostRecord& host : this->PickOnePerOtherDomain(excluded)) {
    hosts.push_back(std::move(host));
  }
  return hosts;
}

}  // namespace banyanknot::coordination
