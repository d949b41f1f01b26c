#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "banyanknot/Coordination"
#include "banyanknot/State"
#include "banyanknot/transport/steady_clock.h"

namespace banyanknot::coordination {
namespace {

constexpr std::uint64_t kSnapshot = 5;
constexpr std::uint64_t kKeysPerShard = 1'000;

/// What a reply has to echo.
struct Call {
  state::RequestId request;
  std::uint32_t attempt = 0;
  std::uint32_t shard = 0;
  std::uint64_t snapshot = 0;
  state::KeyRange range;
  BackendHandler handler;
};

/// Keeps what one thread is sent until that thread answers it.
class ThreadBackend : public BackendClient {
 public:
  void Send(const state::SubRequest& request, BackendHandler handler) override {
    waiting.push_back({request.request, request.attempt, request.shard,
                       request.snapshot, request.range, std::move(handler)});
  }
  void Cancel(const state::SubRequest& /*request*/) override {}

  static std::vector<Call>& Waiting() { return waiting; }

 private:
  static thread_local std::vector<Call> waiting;
};

thread_local std::vector<Call> ThreadBackend::waiting;

class DiscardingTimers : public TimerService {
 public:
  void RunAt(state::TimePoint /*when*/,
             std::function<void()> /*function*/) override {}
};

/// Updates the server table as replies come, as a gate does.
class TableGate : public ServerGate {
 public:
  TableGate(const Clock& clock, state::ServerTable& servers)
      : clock(clock), servers(servers) {}

  PermitResult Acquire(const state::ServerEntry& server,
                       WorkKind /*kind*/) override {
    const state::TimePoint now = this->clock.Now();
    this->servers.Update(
        server.id, [](state::ServerRecord& record) { ++record.in_flight; });
    return ServerPermit{server.id, now, now + state::Milliseconds(1'000)};
  }
  void Release(const ServerPermit& permit,
               const BackendResult& result) override {
    const state::TimePoint now = this->clock.Now();
    this->servers.Update(permit.server,
                         [&result, now](state::ServerRecord& record) {
                           --record.in_flight;
                           record.phase = state::ServerPhase::kWarm;
                           record.reported_at = now;
                           if (state::IsOk(result)) {
                             record.report = state::ValueOf(result).report;
                           }
                         });
  }

 private:
  const Clock& clock;
  state::ServerTable& servers;
};

state::ServiceEntry MakeService(std::uint32_t shards) {
  state::ServiceEntry service;
  service.id = state::ServiceId("plans");
  service.limits.max_in_flight = 1'000'000;
  service.key_space = {0, shards * kKeysPerShard};
  for (std::uint32_t shard = 0; shard < shards; ++shard) {
    state::ShardEntry entry;
    entry.id = shard;
    entry.range = {shard * kKeysPerShard, (shard + 1) * kKeysPerShard};
    for (const char* replica : {"-a", "-b"}) {
      state::ServerEntry server;
      server.id = state::ServerId("srv-" + std::to_string(shard) + replica);
      server.endpoint = {"10.20.30.40", 8080};
      entry.replicas.push_back(server.id);
      service.servers.push_back(std::move(server));
    }
    service.shards.push_back(std::move(entry));
  }
  return service;
}

struct Host {
  explicit Host(std::uint32_t shards)
      : random(1),
        gate(clock, servers),
        admission(clock),
        snapshots(clock, servers),
        selector(clock, random, servers),
        hedges(catalogue),
        retries(catalogue),
        executor(1, clock, timers, backend, catalogue,
                 {admission, snapshots, selector, gate, hedges, retries},
                 counters) {
    state::CatalogueRecord record;
    record.key = "service/plans";
    record.revision = 1;
    record.content =
        std::make_shared<const state::CatalogueContent>(MakeService(shards));
    this->catalogue.Put(record);
  }

  transport::SteadyClock clock;
  DiscardingTimers timers;
  ThreadBackend backend;
  state::CatalogueTable catalogue;
  state::ServerTable servers;
  state::QueryCounters counters;
  SeededRandomSource random;
  TableGate gate;
  ClassAdmission admission;
  ReportedSnapshotPolicy snapshots;
  LoadAwareReplicaSelector selector;
  QuantileHedgePolicy hedges;
  BudgetRetryPolicy retries;
  QueryExecutor executor;
};

std::unique_ptr<Host> host;  // shared by the threads of one benchmark

void SetUp(const benchmark::State& state) {
  host = std::make_unique<Host>(static_cast<std::uint32_t>(state.range(0)));
}

void TearDown(const benchmark::State& /*state*/) { host.reset(); }

state::SubReply MakeReply(const Call& request) {
  state::SubReply reply;
  reply.request = request.request;
  reply.attempt = request.attempt;
  reply.shard = request.shard;
  reply.snapshot = request.snapshot == 0 ? kSnapshot : request.snapshot;
  reply.covered = request.range;
  reply.status = state::ReplyStatus::kOk;
  reply.report.instance = state::InstanceId("i-1");
  reply.report.oldest_snapshot = kSnapshot - 1;
  reply.report.newest_snapshot = kSnapshot;
  reply.records.push_back({request.range.begin, "1"});
  return reply;
}

/// All decisions of whole queries, from the caller's request to the answer.
void RunQueries(benchmark::State& state) {
  state::Query query;
  query.service = state::ServiceId("plans");
  query.deadline = state::Milliseconds(5'000);
  query.ask = R"({"parcel":12})";
  std::vector<Call> calls;
  std::size_t answered = 0;
  std::size_t refused = 0;
  while (state.KeepRunning()) {
    host->executor.Run(query, [&answered, &refused](const state::Answer& a) {
      if (a.outcome == state::Outcome::kOk) {
        ++answered;
      } else {
        ++refused;
      }
    });
    calls.swap(ThreadBackend::Waiting());
    for (const Call& call : calls) call.handler(MakeReply(call));
    calls.clear();
  }
  const double sub_requests =
      static_cast<double>(answered) * static_cast<double>(state.range(0));
  state.counters["cpu_s_per_sub_request"] = benchmark::Counter(
      sub_requests, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
  state.counters["refused"] = static_cast<double>(refused);
}

BENCHMARK(RunQueries)
    ->Arg(20)
    ->Arg(100)
    ->Arg(530)
    ->Threads(1)
    ->Threads(4)
    ->Threads(8)
    ->MeasureProcessCPUTime()
    ->Setup(SetUp)
    ->Teardown(TearDown);

}  // namespace
}  // namespace banyanknot::coordination
