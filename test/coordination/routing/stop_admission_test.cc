#include "banyanknot/coordination/routing/stop_admission.h"

#include <catch2/catch.hpp>
#include <vector>

#include "coordination/routing/relay_fixture.h"

namespace banyanknot::coordination::routing_testing {
namespace {

const state::TimePoint kStart{Milliseconds(1'000'000)};

TEST_CASE("A stopping host takes what it is likely to finish") {
  struct Row {
    const char* name;
    bool is_idempotent;
    std::int64_t deadline_ms;
    std::int64_t typical_ms;
    std::int64_t arrives_ms;  ///< after the begin of a stop of 5 s
    bool is_admitted;
  };
  const std::vector<Row> rows = {
      {"early", true, 4'000, 160, 500, true},
      {"early, unsafe", false, 4'000, 160, 500, true},
      {"typical time fits", true, 4'000, 160, 4'000, true},
      {"typical time fits, unsafe", false, 4'000, 160, 4'000, false},
      {"typical time too long", true, 4'000, 300, 4'000, false},
      {"short deadline", true, 200, 300, 4'700, true},
      {"short deadline, unsafe", false, 200, 300, 4'700, true},
      {"too late", true, 4'000, 4, 4'900, false},
      {"after the end", true, 4'000, 4, 5'100, false},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    StopAdmission admission;
    admission.Begin(
        {kStart + Milliseconds(2'600), kStart + Milliseconds(5'000)});
    state::Route route = RelayFixture::RelayRoute(row.is_idempotent);
    route.timeout = Milliseconds(10'000);
    const state::TimePoint now = kStart + Milliseconds(row.arrives_ms);
    state::RelayRequest request;
    request.received_at = now;
    request.deadline = Milliseconds(row.deadline_ms);
    CHECK(admission.Admits(request, route, Milliseconds(row.typical_ms), now) ==
          row.is_admitted);
    admission.LimitDeadline(request);
    CHECK(request.deadline <= Milliseconds(row.deadline_ms));
    CHECK(request.deadline <= std::max(kStart + Milliseconds(5'000) - now,
                                       state::Duration(Milliseconds(1))));
  }
}

TEST_CASE("Without a stop every request is taken unchanged") {
  const StopAdmission admission;
  state::RelayRequest request;
  request.received_at = kStart;
  request.deadline = Milliseconds(60'000);
  admission.LimitDeadline(request);
  CHECK(request.deadline == Milliseconds(60'000));
  CHECK(admission.Admits(request, RelayFixture::RelayRoute(false),
                         Milliseconds(5'000), kStart));
}

TEST_CASE("Callers refused by a stop return when another host gets them") {
  StopAdmission admission;
  admission.Begin({kStart + Milliseconds(2'600), kStart + Milliseconds(5'000)});
  CHECK(admission.RetryAfter(kStart + Milliseconds(1'000)) ==
        Milliseconds(1'600));
  CHECK(admission.RetryAfter(kStart + Milliseconds(4'000)) <= Milliseconds(50));
}

TEST_CASE("A stop answers each request with what is known of it") {
  RelayFixture fixture;
  fixture.PutRoutes(
      {RelayFixture::RelayRoute(true), RelayFixture::GatherRoute(4, 0.5)});
  fixture.Publish(fixture.Server("s1", "desk"));
  fixture.PutShardServers(4, 1);
  fixture.client.script = [](const RelaySend& send) {
    // Three shards of four reply before the stop ends, after the soft deadline.
    const std::string server = send.server.Text();
    const bool is_slow = server == "s1" || server == "shard3-0";
    return Reaction{Milliseconds(is_slow ? 900 : 20), GoodReply(send, "")};
  };
  const std::shared_ptr<RequestResult> relayed = fixture.Start("/relay/1");
  const std::shared_ptr<RequestResult> gathered = fixture.Start("/gather/1");
  fixture.executor.FinishBy(
      {fixture.time.Now(), fixture.time.Now() + Milliseconds(100)});
  fixture.time.Advance(Milliseconds(101));
  REQUIRE(relayed->is_answered);
  CHECK(relayed->answer.outcome == state::RelayOutcome::kTimedOut);
  CHECK(relayed->answer.reason == state::RelayReason::kHostStopping);
  REQUIRE(gathered->is_answered);
  CHECK(gathered->answer.outcome == state::RelayOutcome::kPartial);
  CHECK(gathered->answer.missing == 1);
  CHECK(fixture.executor.Unanswered() == 0);
  const std::shared_ptr<RequestResult> late = fixture.Start("/relay/1");
  REQUIRE(late->is_answered);
  CHECK(late->answer.outcome == state::RelayOutcome::kNotRun);
}

}  // namespace
}  // namespace banyanknot::coordination::routing_testing
