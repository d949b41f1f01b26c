#include <catch2/catch.hpp>
#include <deque>

#include "coordination/servers/gate_fixture.h"

namespace banyanknot::coordination::servers_test {
namespace {

/// Holds sub-requests until the test answers them.
class PendingBackend : public BackendClient {
 public:
  void Send(const state::SubRequest& request, BackendHandler handler) override {
    this->pending.push_back({request, std::move(handler)});
  }
  void Cancel(const state::SubRequest& /*request*/) override {}

  struct PendingRequest {
    state::SubRequest request;
    BackendHandler handler;
  };
  std::deque<PendingRequest> pending;
};

state::SubReply GoodReplyTo(const state::SubRequest& request) {
  state::SubReply reply;
  reply.request = request.request;
  reply.attempt = request.attempt;
  reply.shard = request.shard;
  reply.snapshot = 1;
  reply.covered = request.range;
  reply.status = state::ReplyStatus::kOk;
  reply.report.instance = state::InstanceId("i1");
  reply.report.warm = true;
  reply.report.newest_snapshot = 1;
  return reply;
}

/// A host with one service on one server, and no callers.
struct ProberFixture {
  ProberFixture()
      : prober(7, host.clock, host.timers, catalogue, host.servers, host.gate,
               backend, SlowStartProbeOptions()) {
    state::ServiceEntry service;
    service.id = state::ServiceId("a");
    service.owner = "o";
    service.key_space = {0, 100};
    service.servers = {this->host.server};
    service.shards = {{0, {0, 100}, {this->host.server.id}}};
    state::CatalogueRecord record;
    record.key = "service/a";
    record.revision = 1;
    record.content = std::make_shared<const state::CatalogueContent>(service);
    REQUIRE(state::IsOk(this->catalogue.Put(record)));
  }

  std::size_t AnswerAll() {
    const std::size_t count = this->backend.pending.size();
    for (std::size_t index = 0; index < count; ++index) {
      PendingBackend::PendingRequest pending =
          std::move(this->backend.pending.front());
      this->backend.pending.pop_front();
      pending.handler(GoodReplyTo(pending.request));
    }
    return count;
  }

  GateFixture host;
  state::CatalogueTable catalogue;
  PendingBackend backend;
  SlowStartProber prober;
};

TEST_CASE("Slow-start probes make a server without caller traffic warm") {
  ProberFixture fixture;
  const state::TimePoint started_at = fixture.host.clock.now;
  while (fixture.host.Record().phase != state::ServerPhase::kWarm) {
    fixture.prober.RunOnce();
    fixture.host.Advance(state::Milliseconds(5));
    fixture.AnswerAll();
    fixture.host.Advance(state::Milliseconds(95));
    REQUIRE(fixture.host.clock.now - started_at <
            fixture.host.server.warm_up * 3 / 2);
  }
  fixture.prober.RunOnce();
  CHECK(fixture.backend.pending.empty());
}

TEST_CASE("Slow-start probes never exceed the cold slots of a server") {
  ProberFixture fixture;
  for (int round = 0; round < 50; ++round) fixture.prober.RunOnce();
  CHECK(fixture.backend.pending.size() <= fixture.host.server.cold_slots);
  for (const PendingBackend::PendingRequest& pending :
       fixture.backend.pending) {
    CHECK(pending.request.range.Size() == 1);
    CHECK(pending.request.is_idempotent);
  }
}

TEST_CASE("A host that owns no cold slot sends no slow-start probe") {
  ProberFixture fixture;
  fixture.host.ownership.owned = 0;
  fixture.prober.RunOnce();
  CHECK(fixture.backend.pending.empty());
}

class CountingLog : public EventLog {
 public:
  void Write(EventCode /*code*/,
             const std::vector<LogField>& /*fields*/) override {
    ++this->lines;
  }
  int lines = 0;
};

class FixedReadiness : public Readiness {
 public:
  bool IsReady() const override { return this->ready; }
  bool ready = false;
};

TEST_CASE("A host is ready once it knows of a warm replica of every shard") {
  ProberFixture fixture;
  CountingLog log;
  FixedReadiness inner;
  const WarmReplicaReadiness readiness(fixture.host.clock, inner,
                                       fixture.catalogue, fixture.host.servers,
                                       log, state::Milliseconds(8'000));
  CHECK_FALSE(readiness.IsReady());
  inner.ready = true;
  CHECK_FALSE(readiness.IsReady());
  SECTION("a warm replica makes it ready permanently") {
    fixture.host.MakeWarm();
    CHECK(readiness.IsReady());
    fixture.host.servers.Take(fixture.host.server.id);
    CHECK(readiness.IsReady());
  }
  SECTION("without one it becomes ready at its timeout") {
    fixture.host.Advance(state::Milliseconds(7'999));
    CHECK_FALSE(readiness.IsReady());
    fixture.host.Advance(state::Milliseconds(1));
    CHECK(readiness.IsReady());
  }
  CHECK(log.lines == 1);
}

}  // namespace
}  // namespace banyanknot::coordination::servers_test
