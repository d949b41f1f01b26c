#ifndef BANYANKNOT_COORDINATION_FLEET_TABLE_MEMBERSHIP_VIEW_H_
#define BANYANKNOT_COORDINATION_FLEET_TABLE_MEMBERSHIP_VIEW_H_

#include <optional>
#include <vector>

#include "banyanknot/coordination/membership_view.h"

namespace banyanknot::coordination {

/// \brief Membership view backed by the table of hosts.
class TableMembershipView : public MembershipView {
 public:
  TableMembershipView(const state::HostIdentity& self,
                      const state::HostTable& table)
      : self(self), table(table) {}

  const state::HostIdentity& Self() const override { return this->self; }
  std::optional<state::HostRecord> Find(
      const state::HostId& id) const override {
    return this->table.Find(id);
  }
  std::vector<state::HostRecord> Hosts() const override;
  std::vector<state::HostRecord> ReachableHosts() const override;
  std::vector<state::HostId> ActiveHostsIn(
      const state::FailureDomainId& domain) const override;

 private:
  const state::HostIdentity self;
  const state::HostTable& table;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_FLEET_TABLE_MEMBERSHIP_VIEW_H_
