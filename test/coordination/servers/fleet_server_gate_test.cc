#include "banyanknot/coordination/servers/fleet_server_gate.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "coordination/servers/gate_fixture.h"

namespace banyanknot::coordination::servers_test {
namespace {

using state::Milliseconds;
using state::ReplyStatus;
using state::ServerPhase;

TEST_CASE("FleetServerGate refuses a server whose failure domain is out") {
  GateFixture host;
  host.MakeWarm();
  REQUIRE(state::IsOk(host.Acquire(WorkKind::kFirst)));
  host.SetDomain(state::DomainState::kOut);
  for (const WorkKind kind : {WorkKind::kFirst, WorkKind::kHedge,
                              WorkKind::kRetry, WorkKind::kProbe}) {
    CHECK(host.RefusalOf(kind) == GateRefusal::kDomainOut);
  }
}

TEST_CASE("FleetServerGate marks the servers of a returned domain cold") {
  GateFixture host;
  host.MakeWarm();
  host.SetDomain(state::DomainState::kOut);
  host.reconciler.RunOnce();
  host.SetDomain(state::DomainState::kIn);
  host.reconciler.RunOnce();
  CHECK(host.Record().phase == ServerPhase::kCold);
  host.Serve("i1", ReplyStatus::kOk);
  CHECK(host.Record().phase == ServerPhase::kCold);
  host.Advance(host.server.warm_up);
  host.Serve("i1", ReplyStatus::kOk);
  CHECK(host.Record().phase == ServerPhase::kWarm);
}

struct LeavingReport {
  std::string name;
  ReplyStatus status;
  bool is_reported_leaving;
};

TEST_CASE("FleetServerGate: an instance that reported leaving stays so") {
  const std::vector<LeavingReport> reports{
      {"reply refused as draining", ReplyStatus::kDraining, false},
      {"report of a good reply", ReplyStatus::kOk, true},
  };
  for (const LeavingReport& report : reports) {
    INFO(report.name);
    GateFixture host;
    host.MakeWarm();
    const ServerPermit late = host.MustAcquire();
    host.Serve("i1", report.status, report.is_reported_leaving);
    CHECK(host.RefusalOf(WorkKind::kFirst) == GateRefusal::kLeaving);
    CHECK(host.server_updates.back().phase == ServerPhase::kLeaving);
    host.gate.Release(late, host.Reply("i1", ReplyStatus::kOk));
    CHECK(host.RefusalOf(WorkKind::kFirst) == GateRefusal::kLeaving);
    host.Advance(Milliseconds(60'000));
    host.Note("i1", ServerPhase::kWarm, Milliseconds(0));
    CHECK(host.RefusalOf(WorkKind::kFirst) == GateRefusal::kLeaving);
    host.Note("i2", ServerPhase::kCold, Milliseconds(0));
    CHECK(host.Record().phase == ServerPhase::kCold);
    host.Advance(Milliseconds(1));
    host.Note("i1", ServerPhase::kWarm, Milliseconds(0));
    CHECK(host.Record().phase == ServerPhase::kCold);
  }
}

TEST_CASE("FleetServerGate refuses a server that left the catalogue") {
  GateFixture host;
  host.MakeWarm();
  host.RemoveService();
  host.reconciler.RunOnce();
  CHECK(host.RefusalOf(WorkKind::kFirst) == GateRefusal::kLeaving);
}

TEST_CASE("FleetServerGate gives a cold server its owned slots only") {
  GateFixture host;
  host.ownership.owned = 1;
  const ServerPermit first = host.MustAcquire();
  CHECK(first.is_cold);
  CHECK(host.RefusalOf(WorkKind::kFirst) == GateRefusal::kColdBusy);
  CHECK(host.RefusalOf(WorkKind::kHedge) == GateRefusal::kColdExtra);
  CHECK(host.RefusalOf(WorkKind::kRetry) == GateRefusal::kColdExtra);
  host.gate.Release(first, host.Reply("i1", ReplyStatus::kOk));
  CHECK(host.Record().cold_in_flight == 0);
  host.ownership.owned = 0;
  CHECK(host.RefusalOf(WorkKind::kFirst) == GateRefusal::kColdNotOwner);
}

TEST_CASE("FleetServerGate counts requests from before a server turned cold") {
  GateFixture host;
  host.MakeWarm();
  const ServerPermit before = host.MustAcquire();
  const ServerPermit other = host.MustAcquire();
  host.gate.Release(other, host.Reply("i2", ReplyStatus::kOk));
  CHECK(host.Record().phase == ServerPhase::kCold);
  CHECK(host.RefusalOf(WorkKind::kFirst) == GateRefusal::kColdBusy);
  host.gate.Release(before, BackendFailure::kTimeout);
  CHECK(state::IsOk(host.Acquire(WorkKind::kFirst)));
}

TEST_CASE("FleetServerGate ignores a new instance's report of being warm") {
  GateFixture host;
  host.MakeWarm();
  host.Serve("i2", ReplyStatus::kOk);
  for (int reply = 0; reply < 50; ++reply) {
    host.Advance(Milliseconds(20));
    host.Serve("i2", ReplyStatus::kOk);
    REQUIRE(host.Record().phase == ServerPhase::kCold);
  }
  host.Advance(host.server.warm_up);
  host.Serve("i2", ReplyStatus::kOk);
  CHECK(host.Record().phase == ServerPhase::kWarm);
}

TEST_CASE("FleetServerGate backs off from a server that refuses connections") {
  GateFixture host;
  host.MakeWarm();
  for (int attempt = 0; attempt < 3; ++attempt) {
    host.gate.Release(host.MustAcquire(), BackendFailure::kNotSent);
  }
  CHECK(host.RefusalOf(WorkKind::kFirst) == GateRefusal::kUnreachable);
  host.Advance(Milliseconds(3'000));
  const ServerPermit probe = host.MustAcquire();
  CHECK(host.RefusalOf(WorkKind::kFirst) == GateRefusal::kUnreachable);
  host.gate.Release(probe, host.Reply("i1", ReplyStatus::kOk));
  CHECK(state::IsOk(host.Acquire(WorkKind::kFirst)));
}

TEST_CASE("FleetServerGate: local limits and timeouts keep a server warm") {
  GateFixture host;
  host.MakeWarm();
  for (const BackendFailure failure :
       {BackendFailure::kConnectionLimit, BackendFailure::kTimeout,
        BackendFailure::kExpired, BackendFailure::kCancelled}) {
    for (int attempt = 0; attempt < 20; ++attempt) {
      host.gate.Release(host.MustAcquire(), failure);
    }
    CHECK(host.Record().phase == ServerPhase::kWarm);
  }
  CHECK(host.Record().in_flight == 0);
}

TEST_CASE("FleetServerGate: a lost connection requires a confirming reply") {
  GateFixture host;
  host.MakeWarm();
  const ServerPermit sent_before = host.MustAcquire();
  host.Advance(Milliseconds(1));
  host.gate.Release(host.MustAcquire(), BackendFailure::kLost);
  CHECK(host.Record().phase == ServerPhase::kUnknown);
  host.gate.Release(sent_before, host.Reply("i1", ReplyStatus::kOk));
  CHECK(host.Record().phase == ServerPhase::kUnknown);
  host.Advance(Milliseconds(1));
  host.Serve("i1", ReplyStatus::kOk);
  CHECK(host.Record().phase == ServerPhase::kWarm);
}

TEST_CASE("FleetServerGate leaves the capacity that other hosts use") {
  GateFixture host;
  host.MakeWarm();
  host.ServeWithLoad("i1", 6);
  const ServerPermit first = host.MustAcquire();
  const ServerPermit second = host.MustAcquire();
  CHECK(host.RefusalOf(WorkKind::kFirst) == GateRefusal::kBusy);
  host.Advance(Milliseconds(2'000));
  CHECK(state::IsOk(host.Acquire(WorkKind::kFirst)));
}

}  // namespace
}  // namespace banyanknot::coordination::servers_test
