#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

#include "coordination/routing/relay_world.h"

// Replays recorded loads in virtual time, with a decision and with the naive
// one in its place, and compares what callers get.
namespace banyanknot::coordination::routing_testing {
namespace {

using state::RelayOutcome;

/// A stretch of evenly spaced arrivals.
struct LoadRow {
  state::Duration until;
  state::Duration interval;
};

/// Calm, four times what the server can do, calm again.
const std::vector<LoadRow> kBurst = {{Milliseconds(500), Milliseconds(25)},
                                     {Milliseconds(1'500), Milliseconds(2)},
                                     {Milliseconds(3'000), Milliseconds(25)}};
/// What a server takes for one request after the other.
const std::vector<std::int64_t> kServiceMs = {8, 9, 7, 8, 12, 8, 7, 9, 8, 20};

Reaction NextService(const RelayWorld& world, const RelaySend& send) {
  const std::size_t number =
      static_cast<std::size_t>(world.client.arrivals.at(send.server.Text()));
  return {Milliseconds(kServiceMs[number % kServiceMs.size()]),
          GoodReply(send, "")};
}

void Replay(RelayWorld& world, const std::vector<LoadRow>& rows,
            const std::function<void()>& arrive) {
  state::Duration at{0};
  for (const LoadRow& row : rows) {
    for (; at < row.until; at += row.interval) {
      arrive();
      world.time.Advance(row.interval);
    }
  }
  world.time.Advance(Milliseconds(5'000));
}

double MeanMs(const std::vector<state::Duration>& times) {
  state::Duration sum{0};
  for (const state::Duration time : times) sum += time;
  return times.empty() ? 0
                       : state::ToFractionalMilliseconds(sum) /
                             static_cast<double>(times.size());
}

/// One service with one server that has one slot for this host.
void PutLoneServer(RelayWorld& world) {
  world.max_connections = 12;
  world.PutRoutes({RelayWorld::RelayRoute(true)});
  world.Publish(world.Server("s1", "desk"));
  world.client.script = [&world](const RelaySend& send) {
    return NextService(world, send);
  };
}

struct Refusals {
  std::size_t answered = 0;
  std::size_t timed_out = 0;                // while a server worked on them
  std::vector<state::Duration> told_after;  // that they were not run
};

Refusals ReplayBurst(QueueingDelayEstimator* forecast) {
  RelayWorld world(RelayWorld::Others{nullptr, forecast, nullptr});
  PutLoneServer(world);
  std::vector<std::shared_ptr<Ended>> all;
  Replay(world, kBurst, [&world, &all] {
    all.push_back(world.Start("/relay/1", Milliseconds(240)));
  });
  Refusals refusals;
  for (const std::shared_ptr<Ended>& ended : all) {
    REQUIRE(ended->is_answered);
    if (ended->answer.outcome == RelayOutcome::kAnswered) {
      ++refusals.answered;
    } else if (ended->answer.outcome == RelayOutcome::kTimedOut) {
      ++refusals.timed_out;
    } else {
      REQUIRE(ended->answer.outcome == RelayOutcome::kNotRun);
      refusals.told_after.push_back(ended->after);
    }
  }
  return refusals;
}

TEST_CASE("In a burst, who can't be served in time is told at once") {
  NullQueueingDelayEstimator naive;
  const Refusals without = ReplayBurst(&naive);
  const Refusals with = ReplayBurst(nullptr);
  INFO(without.answered << " answered, refused after "
                        << MeanMs(without.told_after) << " ms without; "
                        << with.answered << " answered, refused after "
                        << MeanMs(with.told_after) << " ms with a forecast");
  CHECK(MeanMs(with.told_after) < 0.25 * MeanMs(without.told_after));
  CHECK(with.timed_out <= without.timed_out);
  CHECK(with.answered >= without.answered * 95 / 100);
}

/// A caller that comes back as it is told, for as long as it has time.
class PatientCaller : public std::enable_shared_from_this<PatientCaller> {
 public:
  PatientCaller(RelayWorld& world, state::Duration patience)
      : world(world), give_up_at(world.time.Now() + patience) {}

  void Call() {
    ++this->calls;
    const state::Duration left = this->give_up_at - this->world.time.Now();
    state::RelayRequest request;
    request.id = "caller";
    request.method = "GET";
    request.host = "h.example";
    request.target = "/relay/1";
    request.deadline = left;
    request.received_at = this->world.time.Now();
    this->world.executor.Run(
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
    const state::TimePoint now = this->world.time.Now();
    const state::Duration left = this->give_up_at - now;
    if (this->is_served || left < Milliseconds(30)) return;
    const state::Duration away = std::min(answer.retry_after, left / 3);
    this->world.time.RunAt(now + away,
                           [self = this->shared_from_this()] { self->Call(); });
  }

  RelayWorld& world;
  const state::TimePoint give_up_at;
};

struct Returns {
  int served = 0;
  int calls = 0;
};

Returns ReplayReturns(bool is_naive) {
  FixedRandomSource random(11);
  JitteredRetryAfter spread(random);
  RelayWorld world(
      RelayWorld::Others{nullptr, nullptr, is_naive ? &spread : nullptr});
  PutLoneServer(world);
  std::vector<std::shared_ptr<PatientCaller>> callers;
  const std::vector<LoadRow> rush = {{Milliseconds(400), Milliseconds(2)}};
  Replay(world, rush, [&world, &callers] {
    callers.push_back(
        std::make_shared<PatientCaller>(world, Milliseconds(1'500)));
    callers.back()->Call();
  });
  Returns returns;
  for (const std::shared_ptr<PatientCaller>& caller : callers) {
    returns.served += caller->is_served ? 1 : 0;
    returns.calls += caller->calls;
  }
  return returns;
}

TEST_CASE("Callers who were turned away come back when there is room") {
  const Returns without = ReplayReturns(true);
  const Returns with = ReplayReturns(false);
  INFO(without.served << " served with " << without.calls << " calls without; "
                      << with.served << " with " << with.calls
                      << " calls with paced returns");
  CHECK(with.served >= without.served * 98 / 100);
  CHECK(with.calls < 0.8 * without.calls);
}

constexpr std::size_t kShards = 8;

struct Gathers {
  std::size_t Wasted() const { return this->sent - this->whole * kShards; }

  std::size_t whole = 0;
  std::size_t sent = 0;  // requests to servers
};

Gathers ReplayGathers(QueueingDelayEstimator* forecast) {
  RelayWorld world(RelayWorld::Others{nullptr, forecast, nullptr});
  world.max_connections = 12;
  world.PutRoutes({RelayWorld::GatherRoute(kShards, 1.0)});
  world.PutShardServers(kShards, 1);
  world.client.script = [&world](const RelaySend& send) {
    Reaction reaction = NextService(world, send);
    // One shard is slower than all others, and holds every gather up.
    if (send.server.Text() == "shard5-0") reaction.after *= 3;
    return reaction;
  };
  std::vector<std::shared_ptr<Ended>> all;
  Replay(world, kBurst, [&world, &all] {
    all.push_back(world.Start("/gather/1", Milliseconds(240)));
  });
  Gathers gathers;
  for (const std::shared_ptr<Ended>& ended : all) {
    REQUIRE(ended->is_answered);
    if (ended->answer.outcome == RelayOutcome::kWhole) ++gathers.whole;
  }
  gathers.sent = world.client.sent.size();
  return gathers;
}

TEST_CASE("A gather that finds no room in time costs no server anything") {
  NullQueueingDelayEstimator naive;
  const Gathers without = ReplayGathers(&naive);
  const Gathers with = ReplayGathers(nullptr);
  INFO(without.whole << " whole, " << without.Wasted() << " requests wasted; "
                     << with.whole << " whole, " << with.Wasted()
                     << " wasted with a forecast");
  CHECK(with.whole >= without.whole * 95 / 100);
  CHECK(with.Wasted() < without.Wasted() / 2);
}

TEST_CASE(
    "A gather that hangs on servers that went dark ends when that shows") {
  RelayWorld world;
  world.PutRoutes({RelayWorld::GatherRoute(10, 0.9)});
  world.PutShardServers(10, 2);
  world.client.script = [](const RelaySend& send) {
    const std::string shard = send.server.Text().substr(0, 6);
    if (shard == "shard3" || shard == "shard4") {
      return Reaction{Milliseconds(20'000), RelayFailure::kTimeout};
    }
    return Reaction{Milliseconds(10), GoodReply(send, "")};
  };
  world.client.health = [](const state::InstanceId& server) {
    const std::string shard = server.Text().substr(0, 6);
    return shard == "shard3" || shard == "shard4"
               ? std::nullopt
               : std::optional<ServerHealth>(
                     ServerHealth{server, true, state::Duration(0)});
  };
  const std::shared_ptr<Ended> first = world.Start("/gather/1");
  world.time.Advance(Milliseconds(400));
  const std::shared_ptr<Ended> second = world.Start("/gather/2");
  world.time.Advance(Milliseconds(500));
  REQUIRE(first->is_answered);
  CHECK(first->answer.outcome == RelayOutcome::kTimedOut);
  REQUIRE(second->is_answered);
  CHECK(second->answer.outcome == RelayOutcome::kFailed);
  CHECK(second->after <= Milliseconds(450));
  const Ended third = world.Run("/gather/3");
  CHECK(third.answer.outcome == RelayOutcome::kNotRun);
  CHECK(third.after.count() == 0);
}

}  // namespace
}  // namespace banyanknot::coordination::routing_testing
