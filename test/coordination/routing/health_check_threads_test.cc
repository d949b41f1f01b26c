#include <atomic>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "coordination/routing/relay_fixture.h"

namespace banyanknot::coordination::routing_testing {
namespace {

/// Runs timers at once, on threads of its own.
class ThreadedTimers : public TimerService {
 public:
  ThreadedTimers() {
    for (int worker = 0; worker < 3; ++worker) {
      this->workers.emplace_back([this] { this->RunWorker(); });
    }
  }
  ~ThreadedTimers() override {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->is_stopping = true;
      this->changed.notify_all();
    }
    for (std::thread& worker : this->workers) worker.join();
  }
  void RunAt(state::TimePoint /*when*/,
             std::function<void()> function) override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->functions.push_back(std::move(function));
    this->changed.notify_all();
  }
  /// Waits until nothing is left to run.
  void Drain() {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait(
        lock, [this] { return this->functions.empty() && this->running == 0; });
  }

 private:
  void RunWorker() {
    std::unique_lock<std::mutex> lock(this->mutex);
    for (;;) {
      this->changed.wait(lock, [this] {
        return this->is_stopping || !this->functions.empty();
      });
      if (this->functions.empty()) return;
      const std::function<void()> function = std::move(this->functions.front());
      this->functions.pop_front();
      ++this->running;
      lock.unlock();
      function();
      lock.lock();
      --this->running;
      this->changed.notify_all();
    }
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::function<void()>> functions;
  int running = 0;
  bool is_stopping = false;
  std::vector<std::thread> workers;
};

class StoppedClock : public Clock {
 public:
  state::TimePoint Now() const override { return state::TimePoint(); }
};

class DiscardingLog : public EventLog {
 public:
  void Write(EventCode /*code*/,
             const std::vector<LogField>& /*fields*/) override {}
};

/// All servers are healthy.
class HealthyClient : public RelayClient {
 public:
  explicit HealthyClient(TimerService& timers) : timers(timers) {}
  std::shared_ptr<RelayCall> Send(RelaySend /*send*/,
                                  RelayHandler /*handler*/) override {
    return nullptr;
  }
  void CheckHealth(HealthCheck check, ServerHealthHandler handler) override {
    this->timers.RunAt(state::TimePoint(), [server = check.server,
                                            handler = std::move(handler)] {
      handler(ServerHealth{server, true, state::Duration(0), {}});
    });
  }
  void CloseConnections(const state::InstanceId& /*server*/,
                        const state::Endpoint& /*endpoint*/) override {}

 private:
  TimerService& timers;
};

// Guards against a check that is asked for while another one ends being lost:
// the server would stay unused.
TEST_CASE("No suspicion is left without a check among threads") {
  constexpr int kRounds = 20'000;
  StoppedClock clock;
  DiscardingLog log;
  RouteDirectory routes;
  state::ServiceSpec spec;
  spec.id = state::ServiceId("desk");
  routes.InstallIfNewer(std::make_shared<const state::RouteTable>(
      1, std::vector<state::Route>(), std::vector<state::ServiceSpec>{spec},
      state::CallerLimits()));
  ThreadedTimers timers;
  HealthyClient client(timers);
  ServerHealthChecker checker(clock, timers, client, routes, log);
  state::RegisteredServer record;
  record.id = state::InstanceId("s1");
  record.service = state::ServiceId("desk");
  const TrackedServerPtr server = std::make_shared<TrackedServer>(record, 8);
  for (int round = 0; round < kRounds; ++round) {
    // Checks that find nothing to do end while the suspicion arises.
    checker.Check(server);
    server->Suspect(ServerSuspicion::kBroken);
    checker.Check(server);
    timers.Drain();
    REQUIRE_FALSE(server->NeedsHealthCheck());
  }
}

}  // namespace
}  // namespace banyanknot::coordination::routing_testing
