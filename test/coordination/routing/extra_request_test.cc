#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "coordination/routing/relay_fixture.h"

namespace banyanknot::coordination::routing_testing {
namespace {

const state::ServiceId kService("desk");
/// Limit on extra requests in ten seconds over all hosts: a share of the
/// requests and a fixed number.
constexpr double kAllowedShare = 0.2;
constexpr double kAllowedFixed = 52;
constexpr std::size_t kMaxHosts = 13;

TEST_CASE("Extra requests of many hosts stay within the limit over all hosts") {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
    SeededRandomSource random(seed);
    const std::size_t hosts = 1 + random.Below(kMaxHosts);
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
      // Bursts make the sliding windows cover steps in the load.
      if ((step / 5'000) % 2 == 0 && random.Below(3) == 0) {
        budget.RecordRequest(kService, now);
        requests.push_back(now);
      }
      if (budget.TryAcquire(kService, now)) extras.push_back(now);
      const state::TimePoint start = now - Milliseconds(10'000);
      while (!extras.empty() && extras.front() < start) extras.pop_front();
      // Requests of the preceding window count as well.
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
      const std::ptrdiff_t max_requests =
          std::max({requests.end() - first_new, half_end - first_half,
                    first_new - requests.begin()});
      REQUIRE(static_cast<double>(extras.size()) <=
              kAllowedShare * static_cast<double>(max_requests) +
                  kAllowedFixed);
    }
  }
}

TEST_CASE("Retries at shedding servers stay within the budget") {
  RelayFixture fixture;
  fixture.PutRoutes({RelayFixture::RelayRoute(true)});
  for (const char* id : {"s1", "s2", "s3"}) {
    fixture.Publish(fixture.Server(id, "desk"));
  }
  fixture.client.script = [](const RelaySend& /*send*/) {
    return Reaction{Milliseconds(2), ShedReply()};
  };
  constexpr int kRequests = 400;
  for (int index = 0; index < kRequests; ++index) {
    fixture.Start("/relay/1");
    fixture.time.Advance(Milliseconds(10));
  }
  const double extra =
      static_cast<double>(fixture.client.sent.size()) - kRequests;
  CHECK(extra <= kAllowedShare * kRequests);
  CHECK(extra > 0);
}

/// \brief Never hedges; the baseline.
class NoHedges : public HedgeDelayPolicy {
 public:
  state::Duration HedgeDelay(const state::Route& route) const override {
    return 2 * route.timeout;
  }
  void RecordReplyTime(const state::Route& /*route*/,
                       state::Duration /*time*/) override {}
};

/// Replays gathers over servers that stall for 200 ms every 4.5 s, each with
/// its own phase. Returns the share of whole answers.
double WholeAnswerShare(HedgeDelayPolicy* hedges) {
  constexpr std::size_t kShards = 20;
  constexpr int kGathers = 600;
  RelayFixture fixture(hedges);
  fixture.PutRoutes({RelayFixture::GatherRoute(kShards, 0.75)});
  fixture.PutShardServers(kShards, 2);
  SeededRandomSource random(11);
  std::map<std::string, std::int64_t> phases;
  fixture.client.script = [&](const RelaySend& send) {
    const auto phase =
        phases.emplace(send.server.Text(), random.Below(4'500)).first;
    const std::int64_t at =
        (state::ToMilliseconds(fixture.time.Now().time_since_epoch()) +
         phase->second) %
        4'500;
    const std::int64_t work = 10 + static_cast<std::int64_t>(random.Below(20));
    const std::int64_t paused = at < 200 ? 200 - at : 0;
    return Reaction{Milliseconds(work + paused), GoodReply(send, "")};
  };
  std::vector<std::shared_ptr<RequestResult>> gathers;
  for (int index = 0; index < kGathers; ++index) {
    gathers.push_back(fixture.Start("/gather/1", Milliseconds(800)));
    fixture.time.Advance(Milliseconds(100));
  }
  fixture.time.Advance(Milliseconds(2'000));
  int whole = 0;
  for (const std::shared_ptr<RequestResult>& gather : gathers) {
    if (gather->answer.outcome == state::RelayOutcome::kWhole) ++whole;
  }
  return static_cast<double>(whole) / kGathers;
}

TEST_CASE("Hedges raise the share of whole gathers over servers that stall") {
  NoHedges never;
  const double without = WholeAnswerShare(&never);
  const double with = WholeAnswerShare(nullptr);
  INFO(without << " whole without hedges, " << with << " with them");
  CHECK(1 - with < (1 - without) / 4);
}

TEST_CASE(
    "Queued requests are served by priority, then earliest deadline first") {
  CapacityQueue queue(3);
  const state::TimePoint now{Milliseconds(1'000)};
  CHECK(queue.Enqueue(kService, {1, 2, now + Milliseconds(50)}, now));
  CHECK(queue.Enqueue(kService, {2, 1, now + Milliseconds(90)}, now));
  CHECK(queue.Enqueue(kService, {3, 2, now + Milliseconds(20)}, now));
  CHECK_FALSE(queue.Enqueue(kService, {4, 0, now + Milliseconds(20)}, now));
  CHECK(queue.Dequeue(kService, now)->run == 2);
  CHECK(queue.Dequeue(kService, now)->run == 3);
  CHECK_FALSE(queue.Dequeue(kService, now + Milliseconds(60)));
}

TEST_CASE("Requests are queued for capacity and all served") {
  RelayFixture fixture;
  fixture.max_connections = 12;  // one request at a time from this host
  fixture.PutRoutes({RelayFixture::RelayRoute(true)});
  fixture.Publish(fixture.Server("s1", "desk"));
  std::vector<std::shared_ptr<RequestResult>> all;
  for (int index = 0; index < 5; ++index) {
    all.push_back(fixture.Start("/relay/1"));
  }
  CHECK(fixture.client.sent.size() == 1);
  fixture.time.Advance(Milliseconds(60));
  for (const std::shared_ptr<RequestResult>& result : all) {
    CHECK(result->answer.outcome == state::RelayOutcome::kAnswered);
  }
}

}  // namespace
}  // namespace banyanknot::coordination::routing_testing
