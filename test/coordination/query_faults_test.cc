#include <catch2/catch.hpp>
#include <functional>
#include <limits>
#include <string>
#include <vector>

#include "coordination/query_harness.h"

namespace banyanknot::coordination::testing {
namespace {

using state::Outcome;
using state::ReplyStatus;
using state::ReplyVerdict;
using state::ServiceClass;
using state::SubReply;
using state::SubRequest;

constexpr std::uint64_t kSnapshot = 5;

using Behaviour = std::function<BackendResult(const SubRequest&)>;

Behaviour WithModifiedReply(const std::function<void(SubReply&)>& modify) {
  return [modify](const SubRequest& request) -> BackendResult {
    SubReply reply = MakeValidReply(request, kSnapshot);
    modify(reply);
    return reply;
  };
}

Behaviour ReplyWithStatus(ReplyStatus status) {
  return [status](const SubRequest& request) -> BackendResult {
    return MakeRefusal(request, status, kSnapshot, kSnapshot);
  };
}

Behaviour FailWith(BackendFailure failure) {
  return [failure](const SubRequest&) -> BackendResult { return failure; };
}

struct FaultRow {
  std::string fault;
  Behaviour behaviour;
  ReplyVerdict verdict;
  Outcome outcome_if_all_fail;  // if every replica fails so
};

std::vector<FaultRow> FaultRows() {
  return {
      {"mismatched: other request sequence",
       WithModifiedReply([](SubReply& r) { r.request.sequence += 1; }),
       ReplyVerdict::kMismatched, Outcome::kCoverageShort},
      {"mismatched: other request origin",
       WithModifiedReply([](SubReply& r) { r.request.origin += 1; }),
       ReplyVerdict::kMismatched, Outcome::kCoverageShort},
      {"mismatched: other attempt",
       WithModifiedReply([](SubReply& r) { r.attempt += 1; }),
       ReplyVerdict::kMismatched, Outcome::kCoverageShort},
      {"mismatched: other shard",
       WithModifiedReply([](SubReply& r) { r.shard += 1; }),
       ReplyVerdict::kMismatched, Outcome::kCoverageShort},
      {"mismatched refusal, which does not prove not run",
       WithModifiedReply([](SubReply& r) {
         r.status = ReplyStatus::kShed;
         r.attempt += 1;
       }),
       ReplyVerdict::kMismatched, Outcome::kCoverageShort},
      {"no snapshot", WithModifiedReply([](SubReply& r) { r.snapshot = 0; }),
       ReplyVerdict::kWrongSnapshot, Outcome::kCoverageShort},
      {"empty covered range", WithModifiedReply([](SubReply& r) {
         r.covered = {3, 3};
       }),
       ReplyVerdict::kWrongRange, Outcome::kCoverageShort},
      {"reversed covered range", WithModifiedReply([](SubReply& r) {
         r.covered = {9, 1};
       }),
       ReplyVerdict::kWrongRange, Outcome::kCoverageShort},
      {"covered range exceeds the requested one",
       WithModifiedReply([](SubReply& r) { r.covered.end += 1; }),
       ReplyVerdict::kWrongRange, Outcome::kCoverageShort},
      {"key outside the covered range", WithModifiedReply([](SubReply& r) {
         r.records.push_back({r.covered.end, "x"});
       }),
       ReplyVerdict::kBadRecords, Outcome::kCoverageShort},
      {"duplicate key", WithModifiedReply([](SubReply& r) {
         r.records.push_back(r.records.front());
       }),
       ReplyVerdict::kBadRecords, Outcome::kCoverageShort},
      {"all fields wrong", WithModifiedReply([](SubReply& r) {
         r = SubReply();
         r.status = ReplyStatus::kOk;
         r.records.push_back({std::numeric_limits<std::uint64_t>::max(), ""});
       }),
       ReplyVerdict::kMismatched, Outcome::kCoverageShort},
      {"shed", ReplyWithStatus(ReplyStatus::kShed), ReplyVerdict::kRefused,
       Outcome::kNotRun},
      {"draining", ReplyWithStatus(ReplyStatus::kDraining),
       ReplyVerdict::kRefused, Outcome::kNotRun},
      {"deadline passed at the server", ReplyWithStatus(ReplyStatus::kDeadline),
       ReplyVerdict::kRefused, Outcome::kCoverageShort},
      {"cancelled", ReplyWithStatus(ReplyStatus::kCancelled),
       ReplyVerdict::kRefused, Outcome::kCoverageShort},
      {"failed", ReplyWithStatus(ReplyStatus::kFailed), ReplyVerdict::kRefused,
       Outcome::kFailed},
      {"not sent", FailWith(BackendFailure::kNotSent), ReplyVerdict::kNoReply,
       Outcome::kNotRun},
      {"connection limit reached", FailWith(BackendFailure::kConnectionLimit),
       ReplyVerdict::kNoReply, Outcome::kNotRun},
      {"expired before it was sent", FailWith(BackendFailure::kExpired),
       ReplyVerdict::kNoReply, Outcome::kNotRun},
      {"connection lost", FailWith(BackendFailure::kLost),
       ReplyVerdict::kNoReply, Outcome::kCoverageShort},
      {"timeout", FailWith(BackendFailure::kTimeout), ReplyVerdict::kNoReply,
       Outcome::kCoverageShort},
      {"malformed reply", FailWith(BackendFailure::kBadReply),
       ReplyVerdict::kNoReply, Outcome::kCoverageShort},
  };
}

TEST_CASE("A failed attempt is retried at another replica") {
  for (const FaultRow& row : FaultRows()) {
    INFO(row.fault);
    QueryHarness harness;
    Publish(harness.catalogue, MakeService(3, 2), 1);
    harness.StartQuery(harness.MakeQuery());
    bool has_failed = false;
    harness.backend.AnswerAll([&row, &has_failed](const SubRequest& request) {
      if (has_failed) return BackendResult(MakeValidReply(request, kSnapshot));
      has_failed = true;
      return row.behaviour(request);
    });
    REQUIRE(harness.answers.size() == 1);
    const state::Answer& answer = harness.answers.front();
    CHECK(answer.outcome == Outcome::kOk);
    CHECK(answer.coverage == 1.0);
    CHECK(answer.missing.empty());
    CHECK(answer.records.size() == 30);
    CHECK(answer.snapshot == kSnapshot);
    CHECK(harness.counters.Total().Of(row.verdict) == 1);
    CHECK(harness.counters.Total().Of(ReplyVerdict::kMerged) == 3);
    CHECK(harness.gate.acquired == harness.gate.released);
    CHECK(harness.executor.InFlight() == 0);
  }
}

TEST_CASE("A query whose attempts all fail ends with the matching outcome") {
  for (const FaultRow& row : FaultRows()) {
    INFO(row.fault);
    QueryHarness harness;
    Publish(harness.catalogue, MakeService(3, 2), 1);
    harness.StartQuery(harness.MakeQuery());
    for (int step = 0; step < 600; ++step) {
      harness.backend.AnswerAll(row.behaviour);
      harness.timers.RunFor(state::Milliseconds(1));
    }
    REQUIRE(harness.answers.size() == 1);
    const state::Answer& answer = harness.answers.front();
    CHECK(answer.outcome == row.outcome_if_all_fail);
    CHECK(answer.coverage == 0);
    CHECK(answer.records.empty());
    CHECK(answer.missing == std::vector<state::KeyRange>{{0, 30}});
    CHECK(answer.snapshot == 0);
    CHECK(harness.gate.acquired == harness.gate.released);
    CHECK(harness.executor.InFlight() == 0);
    CHECK(harness.backend.sent.size() <= 3 * kMaxAttemptsPerTask);
  }
}

TEST_CASE(
    "A truncated reply is merged and only its missing ranges are retried") {
  QueryHarness harness;
  Publish(harness.catalogue, MakeService(2, 2), 1);
  harness.StartQuery(harness.MakeQuery());
  const ManualBackend::Call first = harness.backend.TakeFirst();
  SubReply truncated = MakeValidReply(first.request, kSnapshot);
  truncated.covered = {2, 6};
  truncated.records.erase(truncated.records.begin() + 6,
                          truncated.records.end());
  truncated.records.erase(truncated.records.begin(),
                          truncated.records.begin() + 2);
  first.handler(truncated);
  std::vector<state::KeyRange> requested_ranges;
  for (const ManualBackend::Call& call : harness.backend.pending) {
    requested_ranges.push_back(call.request.range);
  }
  CHECK(requested_ranges ==
        std::vector<state::KeyRange>{{10, 20}, {0, 2}, {6, 10}});
  harness.backend.AnswerAll([](const SubRequest& request) {
    return MakeValidReply(request, kSnapshot);
  });
  REQUIRE(harness.answers.size() == 1);
  CHECK(harness.answers.front().outcome == Outcome::kOk);
  CHECK(harness.answers.front().records.size() == 20);
  CHECK(harness.counters.Total().Of(ReplyVerdict::kPartial) == 1);
}

TEST_CASE("A duplicate result is counted and discarded") {
  QueryHarness harness;
  Publish(harness.catalogue, MakeService(2, 1), 1);
  harness.StartQuery(harness.MakeQuery());
  const ManualBackend::Call first = harness.backend.TakeFirst();
  first.handler(MakeValidReply(first.request, kSnapshot));
  first.handler(MakeValidReply(first.request, kSnapshot));
  const ManualBackend::Call second = harness.backend.TakeFirst();
  second.handler(MakeValidReply(second.request, kSnapshot));
  second.handler(MakeValidReply(second.request, kSnapshot));
  REQUIRE(harness.answers.size() == 1);
  CHECK(harness.answers.front().records.size() == 20);
  CHECK(harness.counters.Total().Of(ReplyVerdict::kDuplicate) == 1);
  CHECK(harness.counters.Total().Of(ReplyVerdict::kLate) == 1);
  CHECK(harness.gate.acquired == harness.gate.released);
}

TEST_CASE("A late reply is counted and its permit released") {
  QueryHarness harness;
  Publish(harness.catalogue, MakeService(2, 1), 1);
  harness.StartQuery(harness.MakeQuery());
  harness.timers.RunFor(state::Milliseconds(600));
  REQUIRE(harness.answers.size() == 1);
  CHECK(harness.answers.front().outcome == Outcome::kDeadline);
  CHECK(harness.backend.cancelled.size() == 2);
  CHECK(harness.executor.InFlight() == 1);
  harness.backend.AnswerAll([](const SubRequest& request) {
    return MakeValidReply(request, kSnapshot);
  });
  CHECK(harness.answers.size() == 1);
  CHECK(harness.counters.Total().Of(ReplyVerdict::kLate) == 2);
  CHECK(harness.gate.acquired == harness.gate.released);
  CHECK(harness.executor.InFlight() == 0);
}

struct RefusalRow {
  std::string situation;
  std::function<void(state::ServiceEntry&, state::Query&)> modify;
  Outcome outcome;
};

TEST_CASE(
    "Invalid queries and services are refused before any sub-request is sent") {
  const std::vector<RefusalRow> rows = {
      {"deadline already past",
       [](state::ServiceEntry&, state::Query& q) {
         q.deadline = state::Milliseconds(-1);
       },
       Outcome::kNotRun},
      {"unknown service",
       [](state::ServiceEntry&, state::Query& q) {
         q.service = state::ServiceId("none");
       },
       Outcome::kInvalid},
      {"coverage over 1",
       [](state::ServiceEntry&, state::Query& q) { q.min_coverage = 1.5; },
       Outcome::kInvalid},
      {"coverage below 0",
       [](state::ServiceEntry&, state::Query& q) { q.min_coverage = -0.1; },
       Outcome::kInvalid},
      {"coverage not a number",
       [](state::ServiceEntry&, state::Query& q) {
         q.min_coverage = std::numeric_limits<double>::quiet_NaN();
       },
       Outcome::kInvalid},
      {"empty shard map",
       [](state::ServiceEntry& s, state::Query&) { s.shards.clear(); },
       Outcome::kNotRun},
      {"empty shard range",
       [](state::ServiceEntry& s, state::Query&) { s.shards[0].range.end = 0; },
       Outcome::kNotRun},
      {"overlapping ranges",
       [](state::ServiceEntry& s, state::Query&) {
         s.shards[0].range.end += 1;
       },
       Outcome::kNotRun},
      {"gap between ranges",
       [](state::ServiceEntry& s, state::Query&) {
         s.shards[0].range.end -= 1;
       },
       Outcome::kNotRun},
      {"shard without replicas",
       [](state::ServiceEntry& s, state::Query&) {
         s.shards[0].replicas.clear();
         s.shards.erase(s.shards.begin() + 1, s.shards.end());
         s.key_space.end = 10;
       },
       Outcome::kNotRun},
  };
  for (const RefusalRow& row : rows) {
    INFO(row.situation);
    QueryHarness harness;
    state::ServiceEntry service = MakeService(3, 2);
    state::Query query = harness.MakeQuery();
    row.modify(service, query);
    Publish(harness.catalogue, service, 1);
    harness.StartQuery(query);
    REQUIRE(harness.answers.size() == 1);
    CHECK(harness.answers.front().outcome == row.outcome);
    CHECK_FALSE(harness.answers.front().reason.empty());
    CHECK(harness.backend.sent.empty());
    CHECK(harness.executor.InFlight() == 0);
  }
}

TEST_CASE(
    "Without a catalogue a query is refused as not run, with a retry delay") {
  QueryHarness harness;
  harness.StartQuery(harness.MakeQuery());
  REQUIRE(harness.answers.size() == 1);
  CHECK(harness.answers.front().outcome == Outcome::kNotRun);
  CHECK(harness.answers.front().retry_after.count() > 0);
}

TEST_CASE(
    "Sub-requests end before their query and are not sent past their permit") {
  QueryHarness harness;
  Publish(harness.catalogue, MakeService(4, 2), 1);
  const state::TimePoint deadline =
      harness.clock.Now() + state::Milliseconds(300);
  harness.gate.validity = state::Milliseconds(40);
  harness.StartQuery(harness.MakeQuery(state::Milliseconds(300)));
  REQUIRE(harness.backend.sent.size() == 4);
  for (const SubRequest& request : harness.backend.sent) {
    CHECK(request.deadline < deadline);
    CHECK(request.send_before == harness.clock.Now() + state::Milliseconds(40));
  }
}

TEST_CASE("A query whose timer fires after its deadline sends nothing") {
  QueryHarness harness;
  Publish(harness.catalogue, MakeService(2, 2), 1);
  for (const state::ServerEntry& server : MakeService(2, 2).servers) {
    harness.gate.refusals[server.id] = GateRefusal::kBusy;
  }
  harness.StartQuery(harness.MakeQuery());
  CHECK(harness.answers.empty());
  harness.gate.refusals.clear();
  harness.clock.Advance(state::Milliseconds(60'000));
  harness.timers.RunFor(state::Milliseconds(1));
  CHECK(harness.backend.sent.empty());
  REQUIRE(harness.answers.size() == 1);
  CHECK(harness.answers.front().outcome == Outcome::kNotRun);
}

}  // namespace
}  // namespace banyanknot::coordination::testing
