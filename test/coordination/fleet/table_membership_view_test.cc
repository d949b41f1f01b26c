#include "banyanknot/coordination/fleet/table_membership_view.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace banyanknot::coordination {
namespace {

void Insert(state::HostTable& table, const std::string& id,
            const std::string& domain, state::HostState host_state,
            bool leaving) {
  state::HostRecord record;
  record.listed.id = state::HostId(id);
  record.listed.domain = state::FailureDomainId(domain);
  record.listed.leaving = leaving;
  record.host_state = host_state;
  table.Insert(record.listed.id, record);
}

TEST_CASE("TableMembershipView returns the reachable and the active hosts") {
  state::HostIdentity self;
  self.self.id = state::HostId("h0");
  self.self.domain = state::FailureDomainId("a");
  state::HostTable table;
  Insert(table, "h1", "a", state::HostState::kAlive, false);
  Insert(table, "h2", "a", state::HostState::kSuspect, false);
  Insert(table, "h3", "a", state::HostState::kDead, false);
  Insert(table, "h4", "a", state::HostState::kAlive, true);
  Insert(table, "h5", "b", state::HostState::kAlive, false);
  Insert(table, "h6", "b", state::HostState::kLeft, false);
  const TableMembershipView view(self, table);

  CHECK(view.Hosts().size() == 6);
  CHECK(view.ReachableHosts().size() == 4);
  CHECK(view.ActiveHostsIn(state::FailureDomainId("a")) ==
        std::vector<state::HostId>{state::HostId("h0"), state::HostId("h1"),
                                   state::HostId("h2")});
  CHECK(view.ActiveHostsIn(state::FailureDomainId("b")) ==
        std::vector<state::HostId>{state::HostId("h5")});
  CHECK(view.ActiveHostsIn(state::FailureDomainId("c")).empty());
}

}  // namespace
}  // namespace banyanknot::coordination
