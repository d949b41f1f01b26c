#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "coordination/query_harness.h"

namespace banyanknot::coordination::testing {
namespace {

using state::Outcome;
using state::ReplyStatus;
using state::SubRequest;

struct HeldSnapshots {
  std::uint64_t oldest;
  std::uint64_t newest;
};

void Report(QueryHarness& harness, const std::string& server,
            HeldSnapshots held) {
  state::ServerRecord record;
  record.phase = state::ServerPhase::kWarm;
  record.report.oldest_snapshot = held.oldest;
  record.report.newest_snapshot = held.newest;
  record.reported_at = harness.clock.Now();
  harness.servers.Insert(state::ServerId(server), record);
}

struct ChoiceRow {
  std::string situation;
  std::vector<std::pair<std::string, HeldSnapshots>> reports;
  std::uint64_t snapshot;
};

TEST_CASE("A query starts with a snapshot that every shard holds") {
  const std::vector<ChoiceRow> rows = {
      {"no reports", {}, 0},
      {"all replicas equal",
       {{"b0-0", {3, 5}}, {"b0-1", {3, 5}}, {"b1-0", {3, 5}}, {"b1-1", {3, 5}}},
       5},
      {"one replica lags",
       {{"b0-0", {3, 5}}, {"b0-1", {3, 4}}, {"b1-0", {3, 5}}, {"b1-1", {3, 5}}},
       4},
      {"no snapshot common to all replicas, one common to all shards",
       {{"b0-0", {1, 2}}, {"b0-1", {5, 6}}, {"b1-0", {5, 5}}, {"b1-1", {8, 9}}},
       5},
      {"no snapshot common to all shards",
       {{"b0-0", {1, 2}}, {"b1-0", {3, 4}}},
       0},
      {"no reports for one shard", {{"b0-0", {1, 2}}}, 2},
  };
  for (const ChoiceRow& row : rows) {
    INFO(row.situation);
    QueryHarness harness;
    Publish(harness.catalogue, MakeService(2, 2), 1);
    for (const auto& [server, held] : row.reports) {
      Report(harness, server, held);
    }
    harness.StartQuery(harness.MakeQuery());
    REQUIRE(harness.backend.sent.size() == 2);
    CHECK(harness.backend.sent[0].snapshot == row.snapshot);
    CHECK(harness.backend.sent[1].snapshot == row.snapshot);
  }
}

BackendResult Serve(const SubRequest& request, HeldSnapshots held) {
  const std::uint64_t snapshot =
      request.snapshot == 0 ? held.newest : request.snapshot;
  if (snapshot < held.oldest || snapshot > held.newest) {
    return MakeRefusal(request, ReplyStatus::kSnapshotMissing, held.oldest,
                       held.newest);
  }
  state::SubReply reply = MakeValidReply(request, snapshot);
  reply.report.oldest_snapshot = held.oldest;
  reply.report.newest_snapshot = held.newest;
  return reply;
}

struct LostRow {
  std::string situation;
  std::map<std::string, HeldSnapshots>
      held;  // by server, when the sub-request arrives
  Outcome outcome;
  std::uint64_t snapshot;
  std::uint64_t changes;
};

TEST_CASE(
    "A query whose snapshot a shard lost recovers or reports low coverage") {
  const std::vector<LostRow> rows = {
      {"another replica holds it",
       {{"b0-0", {5, 6}}, {"b0-1", {6, 7}}, {"b1-0", {5, 6}}, {"b1-1", {5, 6}}},
       Outcome::kOk,
       5,
       0},
      {"no replica holds it: new round",
       {{"b0-0", {5, 7}}, {"b0-1", {5, 7}}, {"b1-0", {6, 7}}, {"b1-1", {6, 7}}},
       Outcome::kOk,
       7,
       1},
      {"no snapshot common to all shards",
       {{"b0-0", {5, 5}}, {"b0-1", {5, 5}}, {"b1-0", {6, 6}}, {"b1-1", {6, 6}}},
       Outcome::kCoverageShort,
       0,
       0},
  };
  for (const LostRow& row : rows) {
    INFO(row.situation);
    QueryHarness harness;
    Publish(harness.catalogue, MakeService(2, 2), 1);
    Report(harness, "b0-0", {4, 5});
    Report(harness, "b0-1", {4, 5});
    Report(harness, "b1-0", {4, 5});
    Report(harness, "b1-1", {4, 5});
    harness.StartQuery(harness.MakeQuery());
    for (int step = 0; step < 600; ++step) {
      harness.backend.AnswerAll([&row](const SubRequest& request) {
        return Serve(request, row.held.at(request.server.Text()));
      });
      harness.timers.RunFor(state::Milliseconds(1));
    }
    REQUIRE(harness.answers.size() == 1);
    const state::Answer& answer = harness.answers.front();
    CHECK(answer.outcome == row.outcome);
    CHECK(answer.snapshot == row.snapshot);
    CHECK(harness.counters.Total().snapshot_changes >= row.changes);
    for (const state::Record& record : answer.records) {
      CHECK(record.value == ValueAt(record.key, row.snapshot));
    }
  }
}

TEST_CASE("Without server reports the first reply determines the snapshot") {
  QueryHarness harness;
  Publish(harness.catalogue, MakeService(2, 1), 1);
  harness.StartQuery(harness.MakeQuery());
  harness.backend.AnswerAll([](const SubRequest& request) {
    return Serve(request, request.shard == 0 ? HeldSnapshots{5, 6}
                                             : HeldSnapshots{6, 7});
  });
  REQUIRE(harness.answers.size() == 1);
  CHECK(harness.answers.front().outcome == Outcome::kOk);
  CHECK(harness.answers.front().snapshot == 6);
  REQUIRE(harness.backend.sent.size() == 3);
  CHECK(harness.backend.sent[2].snapshot == 6);
}

TEST_CASE("A reply from another snapshot is rejected") {
  QueryHarness harness;
  Publish(harness.catalogue, MakeService(1, 2), 1);
  Report(harness, "b0-0", {5, 5});
  Report(harness, "b0-1", {5, 5});
  harness.StartQuery(harness.MakeQuery());
  const ManualBackend::Call call = harness.backend.TakeFirst();
  call.handler(MakeValidReply(call.request, 6));
  harness.backend.AnswerAll([](const SubRequest& request) {
    return Serve(request, {5, 5});
  });
  REQUIRE(harness.answers.size() == 1);
  CHECK(harness.answers.front().snapshot == 5);
  CHECK(harness.counters.Total().Of(state::ReplyVerdict::kWrongSnapshot) == 1);
}

state::ServiceEntry Split(state::ServiceEntry service) {
  state::ShardEntry right = service.shards[0];
  right.id = 9;
  right.range.begin = 5;
  service.shards[0].id = 8;
  service.shards[0].range.end = 5;
  service.shards.insert(service.shards.begin() + 1, right);
  return service;
}

struct RepartitionRow {
  std::string when;
  state::Duration catalogue_lag;
};

TEST_CASE("A repartition during a query loses and duplicates no records") {
  const std::vector<RepartitionRow> rows = {
      {"catalogue updated before the servers", state::Milliseconds(0)},
      {"catalogue updated after the servers", state::Milliseconds(60)},
  };
  for (const RepartitionRow& row : rows) {
    INFO(row.when);
    QueryHarness harness;
    const state::ServiceEntry before = MakeService(2, 2);
    const state::ServiceEntry after = Split(before);
    Publish(harness.catalogue, before, 1);
    harness.StartQuery(harness.MakeQuery());
    harness.timers.RunAt(harness.clock.Now() + row.catalogue_lag,
                         [&] { Publish(harness.catalogue, after, 2); });
    for (int step = 0; step < 600; ++step) {
      harness.timers.RunFor(state::Milliseconds(1));
      harness.backend.AnswerAll([](const SubRequest& request) {
        if (request.shard == 0) {
          return BackendResult(
              MakeRefusal(request, ReplyStatus::kWrongShard, 5, 5));
        }
        return Serve(request, {5, 5});
      });
    }
    REQUIRE(harness.answers.size() == 1);
    CHECK(harness.answers.front().outcome == Outcome::kOk);
    CHECK(harness.answers.front().records.size() == 20);
    CHECK(harness.backend.sent.back().shard == 9);
  }
}

}  // namespace
}  // namespace banyanknot::coordination::testing
