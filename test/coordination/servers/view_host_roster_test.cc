#include "banyanknot/coordination/servers/view_host_roster.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "banyanknot/coordination/fleet/table_membership_view.h"

namespace banyanknot::coordination::servers_test {
namespace {

using state::HostState;

struct HostRow {
  const char* id;
  const char* domain;
  HostState host_state;
  bool is_listed;
};

std::vector<std::string> OwnersOn(const char* self_domain,
                                  const std::vector<HostRow>& rows) {
  state::HostIdentity self;
  self.self.id = state::HostId("self");
  self.self.domain = state::FailureDomainId(self_domain);
  state::HostTable hosts;
  for (const HostRow& row : rows) {
    state::HostRecord record;
    record.listed.id = state::HostId(row.id);
    record.listed.domain = state::FailureDomainId(row.domain);
    record.host_state = row.host_state;
    record.is_listed = row.is_listed;
    hosts.Insert(record.listed.id, record);
  }
  const TableMembershipView view(self, hosts);
  const ViewHostRoster roster(view);
  std::vector<std::string> owners;
  for (const state::HostId& owner :
       roster.EligibleHosts(state::FailureDomainId("a"))) {
    owners.push_back(owner.Text());
  }
  std::sort(owners.begin(), owners.end());
  return owners;
}

TEST_CASE(
    "ViewHostRoster: owners are the active hosts of the server's domain") {
  CHECK(OwnersOn("a", {{"h1", "a", HostState::kAlive, true},
                       {"h2", "a", HostState::kDead, true},
                       {"h3", "b", HostState::kAlive, true}}) ==
        std::vector<std::string>{"h1", "self"});
  CHECK(OwnersOn("a", {{"h1", "a", HostState::kLeft, true},
                       {"h2", "a", HostState::kSuspect, true},
                       {"h4", "a", HostState::kAlive, false}}) ==
        std::vector<std::string>{"h2", "h4", "self"});
}

TEST_CASE("ViewHostRoster: the remote side of a partition owns no slots") {
  // All hosts of the server's domain are listed, but dead as seen from here.
  CHECK(OwnersOn("b", {{"h1", "a", HostState::kDead, true},
                       {"h2", "a", HostState::kDead, true},
                       {"h3", "b", HostState::kAlive, true}})
            .empty());
}

TEST_CASE("ViewHostRoster: both sides agree on a domain without hosts") {
  // Only the list counts, not whether a host is reachable from here.
  CHECK(OwnersOn("b", {{"h3", "b", HostState::kAlive, true},
                       {"h5", "c", HostState::kDead, true},
                       {"h6", "c", HostState::kAlive, false}}) ==
        std::vector<std::string>{"h3", "h5", "self"});
}

}  // namespace
}  // namespace banyanknot::coordination::servers_test
