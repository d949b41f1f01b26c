#include "banyanknot/coordination/routing/server_choice.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "banyanknot/coordination/routing/server_directory.h"
#include "coordination/fleet/support/virtual_time.h"
#include "coordination/routing/choice_replay.h"

namespace banyanknot::coordination::routing_testing {
namespace {

using state::Milliseconds;

ServerObservation Server(std::int64_t reply_ms, double own_requests = 0) {
  ServerObservation server;
  server.reply_time = Milliseconds(reply_ms);
  server.slots = 2;
  server.own_requests = own_requests;
  return server;
}

ServerObservation Reported(std::int64_t reply_ms, double others,
                           std::int64_t age_ms) {
  ServerObservation server = Server(reply_ms);
  server.others = ObservedRequests{others, Milliseconds(age_ms)};
  return server;
}

/// Returns how often each candidate is chosen.
std::vector<int> Count(const ServerChoice& choice,
                       const std::vector<ServerObservation>& candidates,
                       int rounds = 10'000) {
  std::vector<int> chosen(candidates.size(), 0);
  for (int round = 0; round < rounds; ++round) {
    ++chosen.at(choice.Choose(candidates));
  }
  return chosen;
}

TEST_CASE("Names of server choices are unique and found again") {
  for (const state::EnumName<ServerChoiceKind>& row : kServerChoiceKindNames) {
    REQUIRE(state::FindValue(kServerChoiceKindNames, row.name) == row.value);
    REQUIRE(NameOf(row.value) == row.name);
  }
}

TEST_CASE("Contract of server choices") {
  for (const state::EnumName<ServerChoiceKind>& row : kServerChoiceKindNames) {
    const ChoiceUnderTest made(row.value, 11);
    const ServerChoice& choice = made.Choice();
    DYNAMIC_SECTION(row.name << " takes the only candidate") {
      REQUIRE(choice.Choose({Reported(900, 70, 400)}) == 0);
    }
    DYNAMIC_SECTION(row.name << " chooses the better of two") {
      REQUIRE(choice.Choose({Server(20), Server(10)}) == 1);
      REQUIRE(choice.Choose({Server(10), Server(20)}) == 0);
      REQUIRE(choice.Choose({Server(10, 3), Server(10)}) == 1);
      REQUIRE(choice.Choose({Reported(10, 9, 0), Reported(10, 0, 0)}) == 1);
    }
    DYNAMIC_SECTION(row.name << " avoids a server that fails") {
      ServerObservation failing = Server(10);
      failing.failure_share = 0.5;
      REQUIRE(choice.Choose({failing, Server(11)}) == 1);
    }
    DYNAMIC_SECTION(row.name << " counts added time") {
      ServerObservation far = Server(10);
      far.added_time = Milliseconds(2);
      REQUIRE(choice.Choose({far, Server(10)}) == 1);
    }
    DYNAMIC_SECTION(row.name << " never chooses the worst of three") {
      const std::vector<int> chosen =
          Count(choice, {Server(10), Server(500), Server(11)});
      REQUIRE(chosen[0] > chosen[2]);
      REQUIRE(chosen[1] == 0);
    }
    DYNAMIC_SECTION(row.name << " accepts estimates of zero") {
      REQUIRE(choice.Choose({Server(0), Server(0), Server(0)}) < 3);
    }
    DYNAMIC_SECTION(row.name << " counts its own requests in full") {
      // The reports say that both are alike.
      ServerObservation sent = Reported(10, 4, 200);
      sent.own_requests = 1;
      REQUIRE(choice.Choose({sent, Reported(10, 4, 200)}) == 1);
    }
  }
}

TEST_CASE("Two choices spread equal servers and prefer a fast one") {
  const ChoiceUnderTest made(ServerChoiceKind::kTwoChoices, 5);
  for (const int count :
       Count(made.Choice(), {Server(10), Server(10), Server(10)})) {
    REQUIRE(count > 3'000);
    REQUIRE(count < 3'700);
  }
  const std::vector<int> chosen =
      Count(made.Choice(), {Server(40), Server(10), Server(40)});
  REQUIRE(chosen[1] > 8'000);
  REQUIRE(chosen[1] < 10'000);
}

TEST_CASE("Two choices trust a report less the older it is") {
  const ChoiceUnderTest made(ServerChoiceKind::kTwoChoices, 5);
  int before = 10'000;
  for (const std::int64_t age_ms : {0, 125, 250, 1'000}) {
    // A middling server competes with one that was empty when it reported.
    const std::vector<int> chosen =
        Count(made.Choice(), {Reported(10, 0, age_ms), Reported(10, 6, age_ms),
                              Reported(10, 6, age_ms)});
    REQUIRE(chosen[0] < before);
    before = chosen[0];
  }
}

TEST_CASE("To two choices a server without news is neither empty nor full") {
  const ChoiceUnderTest made(ServerChoiceKind::kTwoChoices, 5);
  const std::vector<int> chosen = Count(
      made.Choice(), {Reported(10, 0, 0), Server(10), Reported(10, 8, 0)});
  REQUIRE(chosen[0] > chosen[1]);
  REQUIRE(chosen[1] > 0);
  REQUIRE(chosen[2] == 0);
  // A report that is too old to count is no news.
  for (const int count :
       Count(made.Choice(), {Reported(10, 8, 10'000), Reported(10, 2, 0)})) {
    REQUIRE(count > 4'700);
  }
}

/// Returns the mean over some seeds.
ReplayResult Mean(ServerChoiceKind kind, ReplayCase setup) {
  constexpr std::uint64_t kSeeds = 4;
  ReplayResult mean;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    setup.seed = seed;
    const ReplayResult one = ReplayChoices(kind, setup);
    mean.requests += one.requests;
    mean.spread += one.spread / kSeeds;
    mean.overruns += one.overruns / kSeeds;
    mean.mean_time_ms += one.mean_time_ms / kSeeds;
  }
  return mean;
}

TEST_CASE("Two choices keep queues even where many hosts know old reports") {
  for (const std::size_t hosts : {8, 28, 88, 195}) {
    for (const std::int64_t age_ms : {100, 250}) {
      for (const bool is_uneven : {false, true}) {
        ReplayCase setup;
        setup.hosts = hosts;
        setup.report_period = Milliseconds(age_ms);
        if (is_uneven) setup.service_ms = {15, 20, 30};
        INFO(hosts << " hosts, reports to " << age_ms << " ms, uneven "
                   << is_uneven);
        const ReplayResult least = Mean(ServerChoiceKind::kLeastCost, setup);
        const ReplayResult two = Mean(ServerChoiceKind::kTwoChoices, setup);
        REQUIRE(two.requests == least.requests);
        REQUIRE(two.spread < 0.95 * least.spread);
        REQUIRE(two.overruns < 0.8 * least.overruns);
        REQUIRE(two.mean_time_ms < least.mean_time_ms);
      }
    }
  }
}

TEST_CASE("Two choices cost little where reports are fresh or say little") {
  for (const std::size_t hosts : {1, 8, 28, 88, 195}) {
    for (const std::int64_t age_ms : {0, 500}) {
      for (const bool is_uneven : {false, true}) {
        ReplayCase setup;
        setup.hosts = hosts;
        setup.report_period = Milliseconds(age_ms);
        if (is_uneven) setup.service_ms = {15, 20, 30};
        INFO(hosts << " hosts, reports to " << age_ms << " ms, uneven "
                   << is_uneven);
        const ReplayResult least = Mean(ServerChoiceKind::kLeastCost, setup);
        const ReplayResult two = Mean(ServerChoiceKind::kTwoChoices, setup);
        REQUIRE(two.mean_time_ms < 1.05 * least.mean_time_ms);
      }
    }
  }
}

/// Returns the ratio of overruns; nothing where they are too few.
std::string RatioText(const ReplayResult& two, const ReplayResult& least) {
  constexpr double kFew = 0.001;
  if (std::max(two.overruns, least.overruns) < kFew) return "-";
  return std::to_string(two.overruns / least.overruns).substr(0, 4);
}

/// Chooses the last candidate and keeps what it saw.
class LastChoice : public ServerChoice {
 public:
  std::size_t Choose(
      const std::vector<ServerObservation>& candidates) const override {
    this->seen = candidates;
    return candidates.size() - 1;
  }
  mutable std::vector<ServerObservation> seen;
};

state::RegisteredServer Registered(const std::string& id,
                                   const std::string& domain) {
  state::RegisteredServer record;
  record.id = state::InstanceId(id);
  record.service = state::ServiceId("desk");
  record.domain = state::FailureDomainId(domain);
  record.slots = 2;
  return record;
}

TEST_CASE("The directory leaves the choice among free servers to the policy") {
  const state::ServiceId desk("desk");
  const LastChoice choice;
  fleet_testing::VirtualTime time;
  ServerDirectory servers(time, state::FailureDomainId("a"), choice);
  servers.Put(Registered("near", "a"));
  servers.Put(Registered("far", "b"));
  servers.Put(Registered("tried", "a"));
  const std::vector<state::InstanceId> tried = {state::InstanceId("tried")};

  const TrackedServerPtr first = servers.Pick(desk, tried, time.Now());
  REQUIRE(choice.seen.size() == 2);
  REQUIRE(first->Record().id == state::InstanceId("far"));
  REQUIRE(choice.seen[1].added_time ==
          choice.seen[0].added_time + Milliseconds(2));
  REQUIRE(choice.seen[1].slots == 2);

  // The connection limit of one is used up at the first server.
  const TrackedServerPtr second = servers.Pick(desk, tried, time.Now());
  REQUIRE(choice.seen.size() == 1);
  REQUIRE(second->Record().id == state::InstanceId("near"));
  REQUIRE(servers.Pick(desk, tried, time.Now()) == nullptr);
  REQUIRE(servers.CountChoices().own_domain == 1);
  REQUIRE(servers.CountChoices().other_domain == 1);

  // A report counts the requests of other hosts, and ages.
  const state::TimePoint sent_at = time.Now();
  time.Advance(Milliseconds(10));
  first->Release(AttemptOutcome::kReplied, sent_at, time.Now(),
                 ReportedLoad{2, 3, 2});
  time.Advance(Milliseconds(300));
  REQUIRE(servers.Pick(desk, tried, time.Now()) == first);
  REQUIRE(choice.seen.back().others.has_value());
  REQUIRE(choice.seen.back().others->count == 4);
  REQUIRE(choice.seen.back().others->age == Milliseconds(300));
}

// Writes the table of docs/design/even-load.md.
TEST_CASE("Table of server choices", "[.table]") {
  std::printf(
      "| load | hosts | reports to | service | spread | ratio | overruns | "
      "ratio | mean time | ratio |\n"
      "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (const double load : {0.3, 0.6, 0.85}) {
    for (const std::size_t hosts : {1, 8, 28, 88, 195}) {
      for (const std::int64_t age_ms : {0, 50, 250, 500}) {
        for (const bool is_uneven : {false, true}) {
          ReplayCase setup;
          setup.load = load;
          setup.hosts = hosts;
          setup.report_period = Milliseconds(age_ms);
          if (is_uneven) setup.service_ms = {15, 20, 30};
          const ReplayResult least = Mean(ServerChoiceKind::kLeastCost, setup);
          const ReplayResult two = Mean(ServerChoiceKind::kTwoChoices, setup);
          std::printf(
              "| %.2f | %zu | %d ms | %s | %.2f, %.2f | %.2f | %.2f%%, %.2f%% "
              "| %s | %.1f, %.1f ms | %.2f |\n",
              load, hosts, static_cast<int>(age_ms),
              is_uneven ? "uneven" : "even", least.spread, two.spread,
              two.spread / least.spread, 100 * least.overruns,
              100 * two.overruns, RatioText(two, least).c_str(),
              least.mean_time_ms, two.mean_time_ms,
              two.mean_time_ms / least.mean_time_ms);
        }
      }
    }
  }
}

}  // namespace
}  // namespace banyanknot::coordination::routing_testing
