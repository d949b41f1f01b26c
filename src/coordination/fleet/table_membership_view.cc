#include "banyanknot/coordination/fleet/table_membership_view.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

bool IsReachable(const state::HostRecord& record) {
  return record.host_state == state::HostState::kAlive ||
         record.host_state == state::HostState::kSuspect;
}

bool IsBefore(const state::HostRecord& left, const state::HostRecord& right) {
  return left.listed.id < right.listed.id;
}

}  // namespace

std::vector<state::HostRecord> TableMembershipView::Hosts() const {
  std::vector<state::HostRecord> hosts;
  this->table.ForEach(
      [&hosts](const state::HostId& /*id*/, const state::HostRecord& record) {
        hosts.push_back(record);
      });
  std::sort(hosts.begin(), hosts.end(), IsBefore);
  return hosts;
}

std::vector<state::HostRecord> TableMembershipView::ReachableHosts() const {
  std::vector<state::HostRecord> hosts;
  this->table.ForEach(
      [&hosts](const state::HostId& /*id*/, const state::HostRecord& record) {
        if (IsReachable(record)) hosts.push_back(record);
      });
  std::sort(hosts.begin(), hosts.end(), IsBefore);
  return hosts;
}

std::vector<state::HostId> TableMembershipView::ActiveHostsIn(
    const state::FailureDomainId& domain) const {
  std::vector<state::HostId> active;
  if (this->self.self.domain == domain) active.push_back(this->self.self.id);
  this->table.ForEach([&active, &domain](const state::HostId& id,
                                         const state::HostRecord& record) {
    if (record.listed.domain == domain && IsReachable(record) &&
        !record.listed.leaving) {
      active.push_back(id);
    }
  });
  std::sort(active.begin(), active.end());
  return active;
}

}  // namespace banyanknot::coordination
