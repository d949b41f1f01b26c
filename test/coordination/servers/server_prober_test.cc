#include "banyanknot/coordination/servers/server_prober.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "coordination/servers/fakes.h"

namespace banyanknot::coordination::servers_test {
namespace {

using state::Milliseconds;
using state::ServerPhase;

/// Holds health requests until the test answers them.
class FakeHealthClient : public ServerHealthClient {
 public:
  void Read(const state::ServerId& server, const state::Endpoint& /*endpoint*/,
            HealthHandler handler) override {
    this->asked.push_back(server);
    this->handlers.push_back(std::move(handler));
  }
  void Answer(const std::string& instance, bool leaving = false) {
    state::ServerReport report;
    report.instance = state::InstanceId(instance);
    report.warm = true;
    report.leaving = leaving;
    report.newest_snapshot = 9;
    this->handlers.back()(report);
  }
  std::vector<state::ServerId> asked;
  std::vector<HealthHandler> handlers;
};

struct ProberFixture {
  explicit ProberFixture(const std::string& self = "h1")
      : prober(clock, timers, random, client, servers, roster,
               state::HostId(self), rules, journal, ServerProbeOptions()) {
    this->clock.now += Milliseconds(100'000);
    this->roster.hosts = {state::HostId("h1")};
  }
  void AddServer(const std::string& id) {
    this->servers.Update(state::ServerId(id), [](state::ServerRecord& record) {
      record.limits.endpoint = {"127.0.0.1", 1};
    });
  }
  state::ServerRecord Record(const std::string& id) const {
    return this->servers.Find(state::ServerId(id))
        .value_or(state::ServerRecord());
  }

  FakeClock clock;
  FakeTimerService timers;
  SeededRandomSource random{3};
  FakeHealthClient client;
  state::ServerTable servers;
  FixedRoster roster;
  RecordingAuditSink audit;
  RecordingServerUpdateChannel board;
  ServerPhaseRules rules{ServerPhaseThresholds()};
  ServerPhaseJournal journal{audit, board};
  ServerProber prober;
};

TEST_CASE("ServerProber asks only servers without recent information") {
  ProberFixture host;
  host.AddServer("busy");
  host.AddServer("quiet");
  host.servers.Update(state::ServerId("busy"),
                      [&](state::ServerRecord& record) {
                        record.last_reply_at = host.clock.now;
                      });
  host.prober.ProbeOne();
  host.prober.ProbeOne();
  REQUIRE(host.client.asked.size() == 1);
  CHECK(host.client.asked[0] == state::ServerId("quiet"));
  host.clock.now += Milliseconds(3'001);
  host.prober.ProbeOne();
  host.prober.ProbeOne();
  host.prober.ProbeOne();
  CHECK(host.client.asked.size() == 3);
}

TEST_CASE("ServerProber: health reports never make a server warm") {
  ProberFixture host;
  host.AddServer("s");
  for (int probe = 0; probe < 50; ++probe) {
    host.clock.now += Milliseconds(4'000);
    host.prober.ProbeOne();
    host.client.Answer("i1");
    REQUIRE(host.Record("s").phase == ServerPhase::kUnknown);
  }
  CHECK(host.Record("s").report.newest_snapshot == 9);
}

TEST_CASE("ServerProber: health reports make servers cold or leaving") {
  ProberFixture host;
  host.AddServer("s");
  host.servers.Update(state::ServerId("s"), [&](state::ServerRecord& record) {
    record.instance = state::InstanceId("i1");
    record.phase = ServerPhase::kWarm;
  });
  host.prober.ProbeOne();
  host.client.Answer("i2");
  CHECK(host.Record("s").phase == ServerPhase::kCold);
  REQUIRE(host.board.server_updates.size() == 1);
  CHECK(host.board.server_updates[0].phase == ServerPhase::kCold);
  host.clock.now += Milliseconds(4'000);
  host.prober.ProbeOne();
  host.client.Answer("i1");  // a stale report
  CHECK(host.Record("s").instance == state::InstanceId("i2"));
  host.clock.now += Milliseconds(4'000);
  host.prober.ProbeOne();
  host.client.Answer("i2", true);
  CHECK(host.Record("s").phase == ServerPhase::kLeaving);
}

TEST_CASE("ServerProber divides the servers of a domain among its hosts") {
  const std::vector<std::string> names{"h1", "h2", "h3"};
  std::map<std::string, int> probes;
  for (const std::string& name : names) {
    ProberFixture host(name);
    for (const std::string& other : names) {
      if (other != "h1") host.roster.hosts.emplace_back(other);
    }
    for (int server = 0; server < 30; ++server) {
      host.AddServer("s" + std::to_string(server));
    }
    for (int round = 0; round < 30; ++round) host.prober.ProbeOne();
    CHECK(host.client.asked.size() < 30);
    for (const state::ServerId& server : host.client.asked) {
      ++probes[server.Text()];
    }
  }
  CHECK(probes.size() == 30);
  for (const auto& [server, count] : probes) CHECK(count == 1);
}

}  // namespace
}  // namespace banyanknot::coordination::servers_test
