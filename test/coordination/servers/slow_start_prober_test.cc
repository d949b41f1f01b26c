#include <catch2/catch.hpp>
#include <deque>

#include "coordination/servers/gate_fixture.h"

namespace banyanknot::coordination::servers_test {
namespace {

/// Keeps sub-requests until the test answers them.
class HeldBackend : public BackendClient {
 public:
  void Send(const state::SubRequest& request, BackendHandler handler) override {
    this->held.push_back({request, std::move(handler)});
  }
  void Cancel(const state::SubRequest& /*request*/) override {}

  struct Held {
    state::SubRequest request;
    BackendHandler handler;
  };
  std::deque<Held> held;
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

/// A host that knows one service of one server, and has no callers.
struct TrialFixture {
  TrialFixture()
      : trial(7, host.clock, host.timers, catalogue, host.servers, host.gate,
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
    const std::size_t count = this->backend.held.size();
    for (std::size_t index = 0; index < count; ++index) {
      HeldBackend::Held held = std::move(this->backend.held.front());
      this->backend.held.pop_front();
      held.handler(GoodReplyTo(held.request));
    }
    return count;
  }

  GateFixture host;
  state::CatalogueTable catalogue;
  HeldBackend backend;
  SlowStartProber trial;
};

TEST_CASE("Trials prove a server warm that no caller asks") {
  TrialFixture fixture;
  const state::TimePoint started_at = fixture.host.clock.now;
  while (fixture.host.Record().phase != state::ServerPhase::kWarm) {
    fixture.trial.RunOnce();
    fixture.host.Advance(state::Milliseconds(5));
    fixture.AnswerAll();
    fixture.host.Advance(state::Milliseconds(95));
    REQUIRE(fixture.host.clock.now - started_at <
            fixture.host.server.warm_up * 3 / 2);
  }
  fixture.trial.RunOnce();
  CHECK(fixture.backend.held.empty());
}

TEST_CASE("Trials never exceed what a server that is not warm bears") {
  TrialFixture fixture;
  for (int round = 0; round < 50; ++round) fixture.trial.RunOnce();
  CHECK(fixture.backend.held.size() <= fixture.host.server.cold_slots);
  for (const HeldBackend::Held& held : fixture.backend.held) {
    CHECK(held.request.range.Size() == 1);
    CHECK(held.request.repeatable);
  }
}

TEST_CASE("A host that owns no cold slot sends no trial") {
  TrialFixture fixture;
  fixture.host.ownership.owned = 0;
  fixture.trial.RunOnce();
  CHECK(fixture.backend.held.empty());
}

class NoLog : public EventLog {
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
  TrialFixture fixture;
  NoLog log;
  FixedReadiness inner;
  const WarmReplicaReadiness readiness(fixture.host.clock, inner,
                                       fixture.catalogue, fixture.host.servers,
                                       log, state::Milliseconds(8'000));
  CHECK_FALSE(readiness.IsReady());
  inner.ready = true;
  CHECK_FALSE(readiness.IsReady());
  SECTION("a warm replica makes it ready, for good") {
    fixture.host.MakeWarm();
    CHECK(readiness.IsReady());
    fixture.host.servers.Take(fixture.host.server.id);
    CHECK(readiness.IsReady());
  }
  SECTION("without one it waits no longer than its bound") {
    fixture.host.Advance(state::Milliseconds(7'999));
    CHECK_FALSE(readiness.IsReady());
    fixture.host.Advance(state::Milliseconds(1));
    CHECK(readiness.IsReady());
  }
  CHECK(log.lines == 1);
}

}  // namespace
}  // namespace banyanknot::coordination::servers_test
