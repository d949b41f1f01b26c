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

Behaviour Bend(const std::function<void(SubReply&)>& bend) {
  return [bend](const SubRequest& request) -> BackendResult {
    SubReply reply = GoodReply(request, kSnapshot);
    bend(reply);
    return reply;
  };
}

Behaviour Say(ReplyStatus status) {
  return [status](const SubRequest& request) -> BackendResult {
    return Refusal(request, status, kSnapshot, kSnapshot);
  };
}

Behaviour Fail(BackendFailure failure) {
  return [failure](const SubRequest&) -> BackendResult { return failure; };
}

struct FaultRow {
  std::string fault;
  Behaviour behaviour;
  ReplyVerdict verdict;
  Outcome when_everywhere;  // outcome if every replica behaves so
};

std::vector<FaultRow> FaultRows() {
  return {
      {"crossed: other request",
       Bend([](SubReply& r) { r.request.sequence += 1; }),
       ReplyVerdict::kMismatched, Outcome::kCoverageShort},
      {"crossed: other origin",
       Bend([](SubReply& r) { r.request.origin += 1; }),
       ReplyVerdict::kMismatched, Outcome::kCoverageShort},
      {"crossed: other attempt", Bend([](SubReply& r) { r.attempt += 1; }),
       ReplyVerdict::kMismatched, Outcome::kCoverageShort},
      {"crossed: other shard", Bend([](SubReply& r) { r.shard += 1; }),
       ReplyVerdict::kMismatched, Outcome::kCoverageShort},
      {"crossed refusal proves nothing", Bend([](SubReply& r) {
         r.status = ReplyStatus::kShed;
         r.attempt += 1;
       }),
       ReplyVerdict::kMismatched, Outcome::kCoverageShort},
      {"no snapshot", Bend([](SubReply& r) { r.snapshot = 0; }),
       ReplyVerdict::kWrongSnapshot, Outcome::kCoverageShort},
      {"covers nothing", Bend([](SubReply& r) {
         r.covered = {3, 3};
       }),
       ReplyVerdict::kWrongRange, Outcome::kCoverageShort},
      {"covers a reversed range", Bend([](SubReply& r) {
         r.covered = {9, 1};
       }),
       ReplyVerdict::kWrongRange, Outcome::kCoverageShort},
      {"covers more than asked", Bend([](SubReply& r) { r.covered.end += 1; }),
       ReplyVerdict::kWrongRange, Outcome::kCoverageShort},
      {"key outside its range", Bend([](SubReply& r) {
         r.records.push_back({r.covered.end, "x"});
       }),
       ReplyVerdict::kBadRecords, Outcome::kCoverageShort},
      {"a key twice",
       Bend([](SubReply& r) { r.records.push_back(r.records.front()); }),
       ReplyVerdict::kBadRecords, Outcome::kCoverageShort},
      {"everything wrong", Bend([](SubReply& r) {
         r = SubReply();
         r.status = ReplyStatus::kOk;
         r.records.push_back({std::numeric_limits<std::uint64_t>::max(), ""});
       }),
       ReplyVerdict::kMismatched, Outcome::kCoverageShort},
      {"shed", Say(ReplyStatus::kShed), ReplyVerdict::kRefused,
       Outcome::kNotRun},
      {"draining", Say(ReplyStatus::kDraining), ReplyVerdict::kRefused,
       Outcome::kNotRun},
      {"gave up in time", Say(ReplyStatus::kDeadline), ReplyVerdict::kRefused,
       Outcome::kCoverageShort},
      {"cancelled", Say(ReplyStatus::kCancelled), ReplyVerdict::kRefused,
       Outcome::kCoverageShort},
      {"failed", Say(ReplyStatus::kFailed), ReplyVerdict::kRefused,
       Outcome::kFailed},
      {"not sent", Fail(BackendFailure::kNotSent), ReplyVerdict::kNoReply,
       Outcome::kNotRun},
      {"no connection left", Fail(BackendFailure::kConnectionLimit),
       ReplyVerdict::kNoReply, Outcome::kNotRun},
      {"expired unsent", Fail(BackendFailure::kExpired), ReplyVerdict::kNoReply,
       Outcome::kNotRun},
      {"connection lost", Fail(BackendFailure::kLost), ReplyVerdict::kNoReply,
       Outcome::kCoverageShort},
      {"timeout", Fail(BackendFailure::kTimeout), ReplyVerdict::kNoReply,
       Outcome::kCoverageShort},
      {"unreadable reply", Fail(BackendFailure::kBadReply),
       ReplyVerdict::kNoReply, Outcome::kCoverageShort},
  };
}

TEST_CASE("A fault of one attempt is mended by another replica") {
  for (const FaultRow& row : FaultRows()) {
    INFO(row.fault);
    QueryHarness harness;
    Publish(harness.catalogue, MakeService(3, 2), 1);
    harness.Ask(harness.MakeQuery());
    bool is_struck = false;
    harness.backend.AnswerAll([&row, &is_struck](const SubRequest& request) {
      if (is_struck) return BackendResult(GoodReply(request, kSnapshot));
      is_struck = true;
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

TEST_CASE("A fault of every attempt ends in a true refusal") {
  for (const FaultRow& row : FaultRows()) {
    INFO(row.fault);
    QueryHarness harness;
    Publish(harness.catalogue, MakeService(3, 2), 1);
    harness.Ask(harness.MakeQuery());
    for (int step = 0; step < 600; ++step) {
      harness.backend.AnswerAll(row.behaviour);
      harness.timers.RunFor(state::Milliseconds(1));
    }
    REQUIRE(harness.answers.size() == 1);
    const state::Answer& answer = harness.answers.front();
    CHECK(answer.outcome == row.when_everywhere);
    CHECK(answer.coverage == 0);
    CHECK(answer.records.empty());
    CHECK(answer.missing == std::vector<state::KeyRange>{{0, 30}});
    CHECK(answer.snapshot == 0);
    CHECK(harness.gate.acquired == harness.gate.released);
    CHECK(harness.executor.InFlight() == 0);
    CHECK(harness.backend.sent.size() <= 3 * kMaxAttemptsPerPiece);
  }
}

TEST_CASE("A truncated reply counts for what it covers") {
  QueryHarness harness;
  Publish(harness.catalogue, MakeService(2, 2), 1);
  harness.Ask(harness.MakeQuery());
  const ManualBackend::Call first = harness.backend.TakeFirst();
  SubReply truncated = GoodReply(first.request, kSnapshot);
  truncated.covered = {2, 6};
  truncated.records.erase(truncated.records.begin() + 6,
                          truncated.records.end());
  truncated.records.erase(truncated.records.begin(),
                          truncated.records.begin() + 2);
  first.handler(truncated);
  std::vector<state::KeyRange> asked;
  for (const ManualBackend::Call& call : harness.backend.waiting) {
    asked.push_back(call.request.range);
  }
  CHECK(asked == std::vector<state::KeyRange>{{10, 20}, {0, 2}, {6, 10}});
  harness.backend.AnswerAll(
      [](const SubRequest& request) { return GoodReply(request, kSnapshot); });
  REQUIRE(harness.answers.size() == 1);
  CHECK(harness.answers.front().outcome == Outcome::kOk);
  CHECK(harness.answers.front().records.size() == 20);
  CHECK(harness.counters.Total().Of(ReplyVerdict::kPartial) == 1);
}

TEST_CASE("A result that comes twice is counted and dropped") {
  QueryHarness harness;
  Publish(harness.catalogue, MakeService(2, 1), 1);
  harness.Ask(harness.MakeQuery());
  const ManualBackend::Call first = harness.backend.TakeFirst();
  first.handler(GoodReply(first.request, kSnapshot));
  first.handler(GoodReply(first.request, kSnapshot));
  const ManualBackend::Call second = harness.backend.TakeFirst();
  second.handler(GoodReply(second.request, kSnapshot));
  second.handler(GoodReply(second.request, kSnapshot));
  REQUIRE(harness.answers.size() == 1);
  CHECK(harness.answers.front().records.size() == 20);
  CHECK(harness.counters.Total().Of(ReplyVerdict::kDuplicate) == 1);
  CHECK(harness.counters.Total().Of(ReplyVerdict::kLate) == 1);
  CHECK(harness.gate.acquired == harness.gate.released);
}

TEST_CASE("A late reply is counted and its permit given back") {
  QueryHarness harness;
  Publish(harness.catalogue, MakeService(2, 1), 1);
  harness.Ask(harness.MakeQuery());
  harness.timers.RunFor(state::Milliseconds(600));
  REQUIRE(harness.answers.size() == 1);
  CHECK(harness.answers.front().outcome == Outcome::kDeadline);
  CHECK(harness.backend.cancelled.size() == 2);
  CHECK(harness.executor.InFlight() == 1);
  harness.backend.AnswerAll(
      [](const SubRequest& request) { return GoodReply(request, kSnapshot); });
  CHECK(harness.answers.size() == 1);
  CHECK(harness.counters.Total().Of(ReplyVerdict::kLate) == 2);
  CHECK(harness.gate.acquired == harness.gate.released);
  CHECK(harness.executor.InFlight() == 0);
}

struct ImpossibleRow {
  std::string demand;
  std::function<void(state::ServiceEntry&, state::Query&)> bend;
  Outcome outcome;
};

TEST_CASE("Impossible demands are refused before anything runs") {
  const std::vector<ImpossibleRow> rows = {
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
      {"coverage that is no number",
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
  for (const ImpossibleRow& row : rows) {
    INFO(row.demand);
    QueryHarness harness;
    state::ServiceEntry service = MakeService(3, 2);
    state::Query query = harness.MakeQuery();
    row.bend(service, query);
    Publish(harness.catalogue, service, 1);
    harness.Ask(query);
    REQUIRE(harness.answers.size() == 1);
    CHECK(harness.answers.front().outcome == row.outcome);
    CHECK_FALSE(harness.answers.front().reason.empty());
    CHECK(harness.backend.sent.empty());
    CHECK(harness.executor.InFlight() == 0);
  }
}

TEST_CASE("A host without any catalogue says not run, and when to ask again") {
  QueryHarness harness;
  harness.Ask(harness.MakeQuery());
  REQUIRE(harness.answers.size() == 1);
  CHECK(harness.answers.front().outcome == Outcome::kNotRun);
  CHECK(harness.answers.front().retry_after.count() > 0);
}

TEST_CASE("Sub-requests end before their query and before their permit") {
  QueryHarness harness;
  Publish(harness.catalogue, MakeService(4, 2), 1);
  const state::TimePoint deadline =
      harness.clock.Now() + state::Milliseconds(300);
  harness.gate.validity = state::Milliseconds(40);
  harness.Ask(harness.MakeQuery(state::Milliseconds(300)));
  REQUIRE(harness.backend.sent.size() == 4);
  for (const SubRequest& request : harness.backend.sent) {
    CHECK(request.deadline < deadline);
    CHECK(request.send_before == harness.clock.Now() + state::Milliseconds(40));
  }
}

TEST_CASE("Nothing is sent by a host that wakes past the deadline") {
  QueryHarness harness;
  Publish(harness.catalogue, MakeService(2, 2), 1);
  for (const state::ServerEntry& server : MakeService(2, 2).servers) {
    harness.gate.refusals[server.id] = GateRefusal::kBusy;
  }
  harness.Ask(harness.MakeQuery());
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
