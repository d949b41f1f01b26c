#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

#include "coordination/routing/relay_fixture.h"

// Replays fixed loads in virtual time, with a policy and with its baseline, and
// compares what callers get.
namespace banyanknot::coordination::routing_testing {
namespace {

using state::RelayOutcome;

/// A phase of evenly spaced arrivals.
struct LoadPhase {
  state::Duration until;
  state::Duration interval;
};

/// Normal load, four times the server's capacity, normal load.
const std::vector<LoadPhase> kBurst = {{Milliseconds(500), Milliseconds(25)},
                                       {Milliseconds(1'500), Milliseconds(2)},
                                       {Milliseconds(3'000), Milliseconds(25)}};
/// Service times of successive requests at a server.
const std::vector<std::int64_t> kServiceMs = {8, 9, 7, 8, 12, 8, 7, 9, 8, 20};

Reaction NextReaction(const RelayFixture& fixture, const RelaySend& send) {
  const std::size_t number =
      static_cast<std::size_t>(fixture.client.received.at(send.server.Text()));
  return {Milliseconds(kServiceMs[number % kServiceMs.size()]),
          GoodReply(send, "")};
}

void Replay(RelayFixture& fixture, const std::vector<LoadPhase>& rows,
            const std::function<void()>& arrive) {
  state::Duration at{0};
  for (const LoadPhase& row : rows) {
    for (; at < row.until; at += row.interval) {
      arrive();
      fixture.time.Advance(row.interval);
    }
  }
  fixture.time.Advance(Milliseconds(5'000));
}

double MeanMs(const std::vector<state::Duration>& times) {
  state::Duration sum{0};
  for (const state::Duration time : times) sum += time;
  return times.empty() ? 0
                       : state::ToFractionalMilliseconds(sum) /
                             static_cast<double>(times.size());
}

/// Adds one service with one server, with capacity for one request.
void PutSingleServer(RelayFixture& fixture) {
  fixture.max_connections = 12;
  fixture.PutRoutes({RelayFixture::RelayRoute(true)});
  fixture.Publish(fixture.Server("s1", "desk"));
  fixture.client.script = [&fixture](const RelaySend& send) {
    return NextReaction(fixture, send);
  };
}

struct BurstResult {
  std::size_t answered = 0;
  std::size_t timed_out = 0;                    // while in flight at a server
  std::vector<state::Duration> rejected_after;  // of kNotRun
};

BurstResult ReplayBurst(QueueingDelayEstimator* estimator) {
  RelayFixture fixture(
      RelayFixture::PolicyOverrides{nullptr, estimator, nullptr});
  PutSingleServer(fixture);
  std::vector<std::shared_ptr<RequestResult>> all;
  Replay(fixture, kBurst, [&fixture, &all] {
    all.push_back(fixture.Start("/relay/1", Milliseconds(240)));
  });
  BurstResult burst;
  for (const std::shared_ptr<RequestResult>& result : all) {
    REQUIRE(result->is_answered);
    if (result->answer.outcome == RelayOutcome::kAnswered) {
      ++burst.answered;
    } else if (result->answer.outcome == RelayOutcome::kTimedOut) {
      ++burst.timed_out;
    } else {
      REQUIRE(result->answer.outcome == RelayOutcome::kNotRun);
      burst.rejected_after.push_back(result->after);
    }
  }
  return burst;
}

TEST_CASE(
    "In a burst, requests that can't be served in time are rejected at once") {
  NullQueueingDelayEstimator baseline;
  const BurstResult without = ReplayBurst(&baseline);
  const BurstResult with = ReplayBurst(nullptr);
  INFO(without.answered << " answered, refused after "
                        << MeanMs(without.rejected_after) << " ms without; "
                        << with.answered << " answered, refused after "
                        << MeanMs(with.rejected_after)
                        << " ms with an estimate");
  CHECK(MeanMs(with.rejected_after) < 0.25 * MeanMs(without.rejected_after));
  CHECK(with.timed_out <= without.timed_out);
  CHECK(with.answered >= without.answered * 95 / 100);
}

/// A caller that retries after the given time until its deadline.
class RetryingCaller : public std::enable_shared_from_this<RetryingCaller> {
 public:
  RetryingCaller(RelayFixture& fixture, state::Duration timeout)
      : fixture(fixture), deadline(fixture.time.Now() + timeout) {}

  void Call() {
    ++this->calls;
    const state::Duration left = this->deadline - this->fixture.time.Now();
    state::RelayRequest request;
    request.id = "caller";
    request.method = "GET";
    request.host = "h.example";
    request.target = "/relay/1";
    request.deadline = left;
    request.received_at = this->fixture.time.Now();
    this->fixture.executor.Run(
        std::move(request),
        [self = this->shared_from_this()](const RelayAnswer& answer) {
          self->OnAnswer(answer);
        });
  }

  int calls = 0;
  bool is_served = false;

 private:
  void OnAnswer(const RelayAnswer& answer) {
    this->is_served = answer.outcome == RelayOutcome::kAnswered;
    const state::TimePoint now = this->fixture.time.Now();
    const state::Duration left = this->deadline - now;
    if (this->is_served || left < Milliseconds(30)) return;
    const state::Duration delay = std::min(answer.retry_after, left / 3);
    this->fixture.time.RunAt(
        now + delay, [self = this->shared_from_this()] { self->Call(); });
  }

  RelayFixture& fixture;
  const state::TimePoint deadline;
};

struct RetryStats {
  int served = 0;
  int calls = 0;
};

RetryStats ReplayRetries(bool is_baseline) {
  FixedRandomSource random(11);
  JitteredRetryAfter spread(random);
  RelayFixture fixture(RelayFixture::PolicyOverrides{
      nullptr, nullptr, is_baseline ? &spread : nullptr});
  PutSingleServer(fixture);
  std::vector<std::shared_ptr<RetryingCaller>> callers;
  const std::vector<LoadPhase> rush = {{Milliseconds(400), Milliseconds(2)}};
  Replay(fixture, rush, [&fixture, &callers] {
    callers.push_back(
        std::make_shared<RetryingCaller>(fixture, Milliseconds(1'500)));
    callers.back()->Call();
  });
  RetryStats stats;
  for (const std::shared_ptr<RetryingCaller>& caller : callers) {
    stats.served += caller->is_served ? 1 : 0;
    stats.calls += caller->calls;
  }
  return stats;
}

TEST_CASE("Rejected callers retry when there is capacity") {
  const RetryStats without = ReplayRetries(true);
  const RetryStats with = ReplayRetries(false);
  INFO(without.served << " served with " << without.calls << " calls without; "
                      << with.served << " with " << with.calls
                      << " calls with paced retries");
  CHECK(with.served >= without.served * 98 / 100);
  CHECK(with.calls < 0.8 * without.calls);
}

constexpr std::size_t kShards = 8;

struct GatherStats {
  std::size_t Wasted() const { return this->sent - this->whole * kShards; }

  std::size_t whole = 0;
  std::size_t sent = 0;  // requests to servers
};

GatherStats ReplayGathers(QueueingDelayEstimator* estimator) {
  RelayFixture fixture(
      RelayFixture::PolicyOverrides{nullptr, estimator, nullptr});
  fixture.max_connections = 12;
  fixture.PutRoutes({RelayFixture::GatherRoute(kShards, 1.0)});
  fixture.PutShardServers(kShards, 1);
  fixture.client.script = [&fixture](const RelaySend& send) {
    Reaction reaction = NextReaction(fixture, send);
    // One slow shard delays every gather.
    if (send.server.Text() == "shard5-0") reaction.after *= 3;
    return reaction;
  };
  std::vector<std::shared_ptr<RequestResult>> all;
  Replay(fixture, kBurst, [&fixture, &all] {
    all.push_back(fixture.Start("/gather/1", Milliseconds(240)));
  });
  GatherStats stats;
  for (const std::shared_ptr<RequestResult>& result : all) {
    REQUIRE(result->is_answered);
    if (result->answer.outcome == RelayOutcome::kWhole) ++stats.whole;
  }
  stats.sent = fixture.client.sent.size();
  return stats;
}

TEST_CASE("Rejecting gathers for lack of capacity saves requests to servers") {
  NullQueueingDelayEstimator baseline;
  const GatherStats without = ReplayGathers(&baseline);
  const GatherStats with = ReplayGathers(nullptr);
  INFO(without.whole << " whole, " << without.Wasted() << " requests wasted; "
                     << with.whole << " whole, " << with.Wasted()
                     << " wasted with an estimate");
  CHECK(with.whole >= without.whole * 95 / 100);
  CHECK(with.Wasted() < without.Wasted() / 2);
}

TEST_CASE(
    "A gather that depends on unresponsive servers fails once they are "
    "detected") {
  RelayFixture fixture;
  fixture.PutRoutes({RelayFixture::GatherRoute(10, 0.9)});
  fixture.PutShardServers(10, 2);
  fixture.client.script = [](const RelaySend& send) {
    const std::string shard = send.server.Text().substr(0, 6);
    if (shard == "shard3" || shard == "shard4") {
      return Reaction{Milliseconds(20'000), RelayFailure::kTimeout};
    }
    return Reaction{Milliseconds(10), GoodReply(send, "")};
  };
  fixture.client.health = [](const state::InstanceId& server) {
    const std::string shard = server.Text().substr(0, 6);
    return shard == "shard3" || shard == "shard4"
               ? std::nullopt
               : std::optional<ServerHealth>(
                     ServerHealth{server, true, state::Duration(0)});
  };
  const std::shared_ptr<RequestResult> first = fixture.Start("/gather/1");
  fixture.time.Advance(Milliseconds(400));
  const std::shared_ptr<RequestResult> second = fixture.Start("/gather/2");
  fixture.time.Advance(Milliseconds(500));
  REQUIRE(first->is_answered);
  CHECK(first->answer.outcome == RelayOutcome::kTimedOut);
  REQUIRE(second->is_answered);
  CHECK(second->answer.outcome == RelayOutcome::kFailed);
  CHECK(second->after <= Milliseconds(450));
  const RequestResult third = fixture.Run("/gather/3");
  CHECK(third.answer.outcome == RelayOutcome::kNotRun);
  CHECK(third.after.count() == 0);
}

}  // namespace
}  // namespace banyanknot::coordination::routing_testing
