#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "banyanknot/coordination/servers/fleet_connection_shares.h"
#include "coordination/servers/fakes.h"

namespace banyanknot::coordination::servers_test {
namespace {

struct ShareRow {
  std::uint32_t connections;
  std::uint32_t slots;
  std::size_t hosts;
  std::size_t max_idle;
  std::size_t max_open;
};

TEST_CASE("FleetConnectionShares leaves room for a fleet that doubles") {
  const std::vector<ShareRow> rows{
      {25, 2, 6, 2, 2},   {25, 2, 9, 1, 2},  {25, 2, 18, 1, 1},
      {30, 3, 9, 1, 3},   {30, 3, 18, 1, 1}, {110, 4, 6, 9, 9},
      {110, 4, 9, 6, 6},  {40, 4, 9, 2, 4},  {110, 4, 18, 3, 4},
      {25, 2, 570, 1, 1},
  };
  for (const ShareRow& row : rows) {
    INFO(row.connections << " connections, " << row.hosts << " hosts");
    state::ServerTable servers;
    const state::ServerId id("s1");
    servers.Update(id, [&row](state::ServerRecord& record) {
      record.limits.connections = row.connections;
      record.limits.slots = row.slots;
    });
    FixedRoster roster;
    for (std::size_t host = 0; host < row.hosts; ++host) {
      roster.hosts.emplace_back("h" + std::to_string(host));
    }
    FleetConnectionShares shares(servers, roster);
    shares.Refresh();
    const ConnectionShare share = shares.Of(id, state::Endpoint());
    CHECK(share.max_idle == row.max_idle);
    CHECK(share.max_open == row.max_open);
    if (row.hosts <= 9)
      CHECK(2 * row.hosts * share.max_idle <= row.connections);
  }
}

TEST_CASE("FleetConnectionShares gives no share at an unlisted endpoint") {
  state::ServerTable servers;
  const state::ServerId id("s1");
  servers.Update(id, [](state::ServerRecord& record) {
    record.limits.endpoint = {"127.0.0.1", 1};
    record.limits.connections = 25;
  });
  FixedRoster roster;
  const FleetConnectionShares shares(servers, roster);
  CHECK(shares.Of(id, {"127.0.0.1", 1}).max_open > 0);
  CHECK(shares.Of(id, {"127.0.0.1", 2}).max_open == 0);
  CHECK(shares.Of(state::ServerId("s2"), {"127.0.0.1", 1}).max_open == 0);
  servers.Update(id,
                 [](state::ServerRecord& record) { record.is_listed = false; });
  CHECK(shares.Of(id, {"127.0.0.1", 1}).max_open == 0);
}

}  // namespace
}  // namespace banyanknot::coordination::servers_test
