#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "coordination/routing/relay_world.h"

namespace banyanknot::coordination::routing_testing {
namespace {

const state::ServiceId kService("desk");
/// What the users bear: a share of the requests and a fixed sum, in ten
/// seconds and over all hosts.
constexpr double kBorneShare = 0.2;
constexpr double kBorneFixed = 52;
constexpr std::size_t kMostHosts = 13;

TEST_CASE("Extra requests of many hosts stay below what the users bear") {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
    SeededRandomSource random(seed);
    const std::size_t hosts = 1 + random.Below(kMostHosts);
    std::vector<std::unique_ptr<ExtraRequestBudget>> budgets;
    for (std::size_t host = 0; host < hosts; ++host) {
      budgets.push_back(
          std::make_unique<ExtraRequestBudget>(ExtraRequestLimits()));
    }
    std::deque<state::TimePoint> requests;
    std::deque<state::TimePoint> extras;
    state::TimePoint now{Milliseconds(1'000'000)};
    for (int step = 0; step < 40'000; ++step) {
      now += state::Milliseconds(static_cast<std::int64_t>(random.Below(4)));
      ExtraRequestBudget& budget = *budgets[random.Below(hosts)];
      // Load comes in bursts, so that windows slide over edges.
      if ((step / 5'000) % 2 == 0 && random.Below(3) == 0) {
        budget.RecordRequest(kService, now);
        requests.push_back(now);
      }
      if (budget.TryAcquire(kService, now)) extras.push_back(now);
      const state::TimePoint start = now - Milliseconds(10'000);
      while (!extras.empty() && extras.front() < start) extras.pop_front();
      // Requests of the window before count as well.
      while (!requests.empty() &&
             requests.front() < start - Milliseconds(10'000)) {
        requests.pop_front();
      }
      const auto first_new =
          std::lower_bound(requests.begin(), requests.end(), start);
      const auto first_half = std::lower_bound(requests.begin(), requests.end(),
                                               start - Milliseconds(5'000));
      const auto half_end = std::lower_bound(requests.begin(), requests.end(),
                                             now - Milliseconds(5'000));
      const std::ptrdiff_t most =
          std::max({requests.end() - first_new, half_end - first_half,
                    first_new - requests.begin()});
      REQUIRE(static_cast<double>(extras.size()) <=
              kBorneShare * static_cast<double>(most) + kBorneFixed);
    }
  }
}

TEST_CASE("Shedding servers are not asked more than the budget allows") {
  RelayWorld world;
  world.PutRoutes({RelayWorld::RelayRoute(true)});
  for (const char* id : {"s1", "s2", "s3"}) {
    world.Publish(world.Server(id, "desk"));
  }
  world.client.script = [](const RelaySend& /*send*/) {
    return Reaction{Milliseconds(2), ShedReply()};
  };
  constexpr int kRequests = 400;
  for (int index = 0; index < kRequests; ++index) {
    world.Start("/relay/1");
    world.time.Advance(Milliseconds(10));
  }
  const double extra =
      static_cast<double>(world.client.sent.size()) - kRequests;
  CHECK(extra <= kBorneShare * kRequests);
  CHECK(extra > 0);
}

/// \brief Never hedges: the baseline.
class NoHedgeClock : public HedgeDelayPolicy {
 public:
  state::Duration HedgeDelay(const state::Route& route) const override {
    return 2 * route.timeout;
  }
  void RecordReplyTime(const state::Route& /*route*/,
                       state::Duration /*time*/) override {}
};

/// Replays gathers over servers that pause 200 ms each 4.5 s, every one at a
/// time of its own; tells the share that came whole.
double WholeShare(HedgeDelayPolicy* hedges) {
  constexpr std::size_t kShards = 20;
  constexpr int kGathers = 600;
  RelayWorld world(hedges);
  world.PutRoutes({RelayWorld::GatherRoute(kShards, 0.75)});
  world.PutShardServers(kShards, 2);
  SeededRandomSource random(11);
  std::map<std::string, std::int64_t> phases;
  world.client.script = [&](const RelaySend& send) {
    const auto phase =
        phases.emplace(send.server.Text(), random.Below(4'500)).first;
    const std::int64_t at =
        (state::ToMilliseconds(world.time.Now().time_since_epoch()) +
         phase->second) %
        4'500;
    const std::int64_t work = 10 + static_cast<std::int64_t>(random.Below(20));
    const std::int64_t paused = at < 200 ? 200 - at : 0;
    return Reaction{Milliseconds(work + paused), GoodReply(send, "")};
  };
  std::vector<std::shared_ptr<Ended>> gathers;
  for (int index = 0; index < kGathers; ++index) {
    gathers.push_back(world.Start("/gather/1", Milliseconds(800)));
    world.time.Advance(Milliseconds(100));
  }
  world.time.Advance(Milliseconds(2'000));
  int whole = 0;
  for (const std::shared_ptr<Ended>& gather : gathers) {
    if (gather->answer.outcome == state::RelayOutcome::kWhole) ++whole;
  }
  return static_cast<double>(whole) / kGathers;
}

TEST_CASE("Hedges make gathers whole over servers that pause") {
  NoHedgeClock never;
  const double without = WholeShare(&never);
  const double with = WholeShare(nullptr);
  INFO(without << " whole without hedges, " << with << " with them");
  CHECK(1 - with < (1 - without) / 4);
}

TEST_CASE("Waiters go by priority, then by what is due first") {
  CapacityQueue line(3);
  const state::TimePoint now{Milliseconds(1'000)};
  CHECK(line.Enqueue(kService, {1, 2, now + Milliseconds(50)}, now));
  CHECK(line.Enqueue(kService, {2, 1, now + Milliseconds(90)}, now));
  CHECK(line.Enqueue(kService, {3, 2, now + Milliseconds(20)}, now));
  CHECK_FALSE(line.Enqueue(kService, {4, 0, now + Milliseconds(20)}, now));
  CHECK(line.Dequeue(kService, now)->run == 2);
  CHECK(line.Dequeue(kService, now)->run == 3);
  CHECK_FALSE(line.Dequeue(kService, now + Milliseconds(60)));
}

TEST_CASE("Requests wait for room and are served in turn") {
  RelayWorld world;
  world.max_connections = 12;  // one request at a time from this host
  world.PutRoutes({RelayWorld::RelayRoute(true)});
  world.Publish(world.Server("s1", "desk"));
  std::vector<std::shared_ptr<Ended>> all;
  for (int index = 0; index < 5; ++index) {
    all.push_back(world.Start("/relay/1"));
  }
  CHECK(world.client.sent.size() == 1);
  world.time.Advance(Milliseconds(60));
  for (const std::shared_ptr<Ended>& ended : all) {
    CHECK(ended->answer.outcome == state::RelayOutcome::kAnswered);
  }
}

}  // namespace
}  // namespace banyanknot::coordination::routing_testing
