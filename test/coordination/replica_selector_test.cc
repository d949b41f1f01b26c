#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "coordination/query_harness.h"

namespace banyanknot::coordination::testing {
namespace {

using state::ServerPhase;
using state::ServerRecord;

constexpr int kDraws = 2'000;

/// Ranks two warm servers; `modify` changes the record of the second.
class TwoServerSelector {
 public:
  explicit TwoServerSelector(const std::function<void(ServerRecord&)>& modify)
      : random(3), selector(clock, random, servers) {
    ServerRecord record;
    record.phase = ServerPhase::kWarm;
    record.reported_at = this->clock.Now();
    record.average_latency = state::Milliseconds(2);
    this->servers.Insert(this->service.servers[0].id, record);
    record.last_failure_at = this->clock.Now();
    modify(record);
    this->servers.Insert(this->service.servers[1].id, record);
  }

  double ShareOfSecond() {
    int second = 0;
    for (int draw = 0; draw < kDraws; ++draw) {
      std::vector<const state::ServerEntry*> candidates = {
          &this->service.servers[0], &this->service.servers[1]};
      this->selector.Rank(candidates);
      if (candidates.front() == &this->service.servers[1]) ++second;
    }
    return static_cast<double>(second) / kDraws;
  }

  ManualClock clock;

 private:
  state::ServiceEntry service = MakeService(1, 2);
  state::ServerTable servers;
  SeededRandomSource random;
  LoadAwareReplicaSelector selector;
};

TEST_CASE(
    "LoadAwareReplicaSelector prefers the server with the better record") {
  struct Row {
    std::string second_server;
    std::function<void(ServerRecord&)> modify;
    double min_share;
    double max_share;
  };
  const std::vector<Row> rows = {
      {"equal", [](ServerRecord&) {}, 0.45, 0.55},
      {"slow",
       [](ServerRecord& r) { r.average_latency = state::Milliseconds(20); }, 0,
       0},
      {"loaded according to its report",
       [](ServerRecord& r) { r.report.queued = 5; }, 0, 0},
      {"loaded by requests of this host",
       [](ServerRecord& r) { r.in_flight = 5; }, 0, 0},
      {"failing", [](ServerRecord& r) { r.consecutive_failures = 3; }, 0, 0},
      {"cold", [](ServerRecord& r) { r.phase = ServerPhase::kCold; }, 0, 0},
      {"unknown", [](ServerRecord& r) { r.phase = ServerPhase::kUnknown; }, 0,
       0},
      {"leaving", [](ServerRecord& r) { r.phase = ServerPhase::kLeaving; }, 0,
       0},
      {"fast",
       [](ServerRecord& r) { r.average_latency = state::Milliseconds(1); }, 1,
       1},
  };
  for (const Row& row : rows) {
    INFO(row.second_server);
    const double share = TwoServerSelector(row.modify).ShareOfSecond();
    CHECK(share >= row.min_share);
    CHECK(share <= row.max_share);
  }
}

TEST_CASE(
    "Old latency, load and failures expire, so that a server is tried again") {
  struct Row {
    std::string second_server;
    std::function<void(ServerRecord&)> modify;
    state::Duration elapsed;
  };
  const std::vector<Row> rows = {
      {"slow",
       [](ServerRecord& r) { r.average_latency = state::Milliseconds(20); },
       state::Milliseconds(4'000)},
      {"loaded", [](ServerRecord& r) { r.report.queued = 5; },
       state::Milliseconds(2'000)},
      {"failing", [](ServerRecord& r) { r.consecutive_failures = 3; },
       state::Milliseconds(3'000)},
  };
  for (const Row& row : rows) {
    INFO(row.second_server);
    TwoServerSelector trial(row.modify);
    trial.clock.Advance(row.elapsed);
    const double share = trial.ShareOfSecond();
    CHECK(share > 0.4);
    CHECK(share < 0.6);
  }
}

TEST_CASE("Without server records replicas are chosen evenly") {
  const ManualClock clock;
  const state::ServerTable servers;
  SeededRandomSource random(5);
  LoadAwareReplicaSelector selector(clock, random, servers);
  const state::ServiceEntry service = MakeService(1, 4);
  std::map<const state::ServerEntry*, int> first;
  for (int draw = 0; draw < kDraws; ++draw) {
    std::vector<const state::ServerEntry*> candidates;
    for (const state::ServerEntry& server : service.servers) {
      candidates.push_back(&server);
    }
    selector.Rank(candidates);
    ++first[candidates.front()];
  }
  for (const state::ServerEntry& server : service.servers) {
    CHECK(first[&server] > kDraws / 5);
  }
}

}  // namespace
}  // namespace banyanknot::coordination::testing
