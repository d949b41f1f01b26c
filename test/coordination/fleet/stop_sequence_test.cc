#include "banyanknot/coordination/fleet/stop_sequence.h"

#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "coordination/fleet/support/virtual_time.h"
#include "coordination/support/recording_audit_sink.h"

namespace banyanknot::coordination::fleet_testing {
namespace {

class AlwaysReady : public Readiness {
 public:
  bool IsReady() const override { return true; }
};

class FakeTarget : public StopTarget {
 public:
  void AnnounceLeaving(const StopSchedule& new_schedule) override {
    ++this->goodbyes;
    this->schedule = new_schedule;
  }
  void StopAccepting() override { ++this->stop_accepting_calls; }
  std::size_t InFlight() const override { return this->in_flight; }
  void OnStopped(StopPhase phase, std::size_t left) override {
    ++this->ends;
    this->ended_as = phase;
    this->left = left;
  }
  std::size_t in_flight = 0;
  std::size_t left = 0;
  int goodbyes = 0;
  int stop_accepting_calls = 0;
  int ends = 0;
  std::optional<StopPhase> ended_as;
  StopSchedule schedule;
};

struct Fixture {
  VirtualTime time;
  state::CatalogueTable catalogue;
  AlwaysReady start;
  FakeTarget target;
  RecordingAuditSink audit;
  StopSequence stop{
      state::HostId("h1"), time, time, catalogue, start, target, audit};
};

TEST_CASE(
    "StopSequence ends when drained, at stop_bound or at a second signal") {
  struct Case {
    const char* name;
    std::size_t in_flight;
    std::int64_t done_at_ms;    ///< when the last request in flight ends
    std::int64_t second_at_ms;  ///< when the second signal comes; 0 for none
    StopPhase expected;
    std::int64_t ended_by_ms;
    std::size_t left;
  };
  const std::vector<Case> cases{
      {"idle", 0, 0, 0, StopPhase::kStopped, 3'000, 0},
      {"finishes", 4, 7'000, 0, StopPhase::kStopped, 7'040, 0},
      {"done before the grace ends", 4, 500, 0, StopPhase::kStopped, 3'000, 0},
      {"bound", 4, 99'000, 0, StopPhase::kForced, 30'000, 4},
      {"second signal in grace", 4, 99'000, 100, StopPhase::kForced, 100, 4},
      {"second signal later", 2, 99'000, 5'000, StopPhase::kForced, 5'000, 2},
      {"second signal too late", 0, 0, 4'000, StopPhase::kStopped, 3'000, 0},
  };
  for (const Case& item : cases) {
    INFO(item.name);
    Fixture fixture;
    fixture.target.in_flight = item.in_flight;
    fixture.time.RunAt(
        fixture.time.Now() + state::Milliseconds(item.done_at_ms),
        [&fixture] { fixture.target.in_flight = 0; });
    if (item.second_at_ms > 0) {
      fixture.time.RunAt(
          fixture.time.Now() + state::Milliseconds(item.second_at_ms),
          [&fixture] { fixture.stop.Abort(); });
    }
    fixture.stop.Begin();
    fixture.stop.Begin();
    fixture.time.Advance(state::Milliseconds(item.ended_by_ms));
    REQUIRE(fixture.target.ended_as);
    CHECK(*fixture.target.ended_as == item.expected);
    CHECK(fixture.target.left == item.left);
    fixture.time.Advance(state::Milliseconds(100'000));
    CHECK(fixture.target.ends == 1);
    CHECK(fixture.target.goodbyes == 1);
    CHECK(fixture.target.stop_accepting_calls <= 1);
  }
}

TEST_CASE(
    "StopSequence keeps serving, not ready, until leave_grace has elapsed") {
  Fixture fixture;
  CHECK(fixture.stop.IsReady());
  fixture.stop.Begin();
  CHECK_FALSE(fixture.stop.IsReady());
  fixture.time.Advance(state::Milliseconds(2'990));
  CHECK(fixture.target.stop_accepting_calls == 0);
  CHECK(fixture.stop.Phase() == StopPhase::kLeaving);
  fixture.time.Advance(state::Milliseconds(20));
  CHECK(fixture.target.stop_accepting_calls == 1);
}

TEST_CASE("Abort has no effect before a stop has begun") {
  Fixture fixture;
  fixture.stop.Abort();
  CHECK(fixture.stop.IsReady());
  CHECK(fixture.target.ends == 0);
}

}  // namespace
}  // namespace banyanknot::coordination::fleet_testing
