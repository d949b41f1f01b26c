#include <atomic>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "coordination/query_harness.h"

namespace banyanknot::coordination::testing {
namespace {

constexpr int kCallers = 4;
constexpr int kQueriesPerCaller = 200;
constexpr std::uint32_t kShards = 8;

/// Backend client with its own threads that answers each call twice.
class ThreadedBackend : public BackendClient {
 public:
  ThreadedBackend() {
    for (int worker = 0; worker < 3; ++worker) {
      this->workers.emplace_back([this] { this->RunWorker(); });
    }
  }
  ~ThreadedBackend() override { this->Stop(); }

  void Send(const state::SubRequest& request, BackendHandler handler) override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->calls.push_back({request, std::move(handler)});
    this->changed.notify_one();
  }
  void Cancel(const state::SubRequest& /*request*/) override {}

  /// Answers the remaining calls and joins the threads.
  void Stop() {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->stopping = true;
      this->changed.notify_all();
    }
    for (std::thread& worker : this->workers) worker.join();
    this->workers.clear();
  }

 private:
  void RunWorker() {
    std::unique_lock<std::mutex> lock(this->mutex);
    for (;;) {
      this->changed.wait(
          lock, [this] { return this->stopping || !this->calls.empty(); });
      if (this->calls.empty()) return;
      const ManualBackend::Call call = std::move(this->calls.front());
      this->calls.pop_front();
      lock.unlock();
      call.handler(MakeValidReply(call.request, 5));
      call.handler(MakeValidReply(call.request, 5));
      lock.lock();
    }
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::deque<ManualBackend::Call> calls;
  bool stopping = false;
  std::vector<std::thread> workers;
};

class DiscardingTimers : public TimerService {
 public:
  void RunAt(state::TimePoint /*when*/,
             std::function<void()> /*function*/) override {}
};

class AtomicCountingGate : public ServerGate {
 public:
  explicit AtomicCountingGate(const Clock& clock) : clock(clock) {}
  PermitResult Acquire(const state::ServerEntry& server,
                       WorkKind /*kind*/) override {
    ++this->acquired;
    const state::TimePoint now = this->clock.Now();
    return ServerPermit{server.id, now, now + state::Milliseconds(1'000)};
  }
  void Release(const ServerPermit& /*permit*/,
               const BackendResult& /*result*/) override {
    ++this->released;
  }

  std::atomic<int> acquired{0};
  std::atomic<int> released{0};

 private:
  const Clock& clock;
};

TEST_CASE("Concurrent queries are each answered once and whole") {
  const ManualClock clock;
  DiscardingTimers timers;
  state::CatalogueTable catalogue;
  const state::ServerTable servers;
  state::QueryCounters counters;
  SeededRandomSource random(1);
  AtomicCountingGate gate(clock);
  ClassAdmission admission(clock);
  ReportedSnapshotPolicy snapshots(clock, servers);
  LoadAwareReplicaSelector selector(clock, random, servers);
  QuantileHedgePolicy hedges(catalogue);
  BudgetRetryPolicy retries(catalogue);
  ThreadedBackend backend;
  QueryExecutor executor(
      7, clock, timers, backend, catalogue,
      {admission, snapshots, selector, gate, hedges, retries}, counters);
  state::ServiceEntry service = MakeService(kShards, 2);
  service.limits.max_in_flight = kCallers * kQueriesPerCaller;
  Publish(catalogue, service, 1);
  std::atomic<int> whole{0};
  std::atomic<int> answered{0};
  std::vector<std::thread> callers;
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&executor, &whole, &answered] {
      state::Query query;
      query.service = state::ServiceId("s");
      for (int index = 0; index < kQueriesPerCaller; ++index) {
        executor.Run(query, [&whole, &answered](const state::Answer& answer) {
          ++answered;
          if (answer.records.size() == kShards * 10) ++whole;
        });
      }
    });
  }
  for (std::thread& caller : callers) caller.join();
  backend.Stop();
  CHECK(answered == kCallers * kQueriesPerCaller);
  CHECK(whole == kCallers * kQueriesPerCaller);
  CHECK(gate.acquired == gate.released);
  CHECK(executor.InFlight() == 0);
  CHECK(counters.Total().Of(state::Outcome::kOk) ==
        kCallers * kQueriesPerCaller);
}

}  // namespace
}  // namespace banyanknot::coordination::testing
