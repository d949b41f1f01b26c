#include "banyanknot/coordination/fleet/peer_selector.h"

#include <set>
#include <utility>

namespace banyanknot::coordination {
namespace {

constexpr std::size_t kNearFanout = 3;

}  // namespace

std::vector<state::HostRecord> PeerSelector::Shuffled(
    const state::HostId& except) {
  std::vector<state::HostRecord> hosts;
  for (state::HostRecord& host : this->view.ReachableHosts()) {
    if (host.listed.id != except) hosts.push_back(std::move(host));
  }
  for (std::size_t left = hosts.size(); left > 1; --left) {
    std::swap(hosts[left - 1], hosts[this->random.Below(left)]);
  }
  return hosts;
}

std::vector<state::HostRecord> PeerSelector::Pick(std::size_t count,
                                                  const state::HostId& except) {
  std::vector<state::HostRecord> hosts = this->Shuffled(except);
  if (hosts.size() > count) hosts.resize(count);
  return hosts;
}

std::vector<state::HostRecord> PeerSelector::PickNear(
    std::size_t count, const state::HostId& except) {
  std::vector<state::HostRecord> near;
  for (state::HostRecord& host : this->Shuffled(except)) {
    if (near.size() == count) break;
    if (host.listed.domain == this->view.Self().self.domain) {
      near.push_back(std::move(host));
    }
  }
  return near;
}

std::vector<state::HostRecord> PeerSelector::PickFar(std::size_t count) {
  const state::HostId nobody;
  std::vector<state::HostRecord> far;
  for (state::HostRecord& host : this->Shuffled(nobody)) {
    if (far.size() == count) break;
    if (host.listed.domain != this->view.Self().self.domain) {
      far.push_back(std::move(host));
    }
  }
  return far.empty() ? this->Pick(count, nobody) : far;
}

std::vector<state::HostRecord> PeerSelector::PickOnePerOtherDomain(
    const state::HostId& except) {
  std::set<state::FailureDomainId> seen{this->view.Self().self.domain};
  std::vector<state::HostRecord> far;
  for (state::HostRecord& host : this->Shuffled(except)) {
    if (seen.insert(host.listed.domain).second) far.push_back(std::move(host));
  }
  return far;
}

std::vector<state::HostRecord> PeerSelector::PickGossipTargets(
    const state::HostId& except) {
  std::vector<state::HostRecord> hosts = this->PickNear(kNearFanout, except);
  for (state::HostRecord& host : this->PickOnePerOtherDomain(except)) {
    hosts.push_back(std::move(host));
  }
  return hosts;
}

}  // namespace banyanknot::coordination
