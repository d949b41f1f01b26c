#include "platform/edge/edge_soak.h"

#include <algorithm>
#include <csignal>
#include <thread>
#include <utility>

#include "platform/wire_names.h"

namespace banyanknot::platform::edge_testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr unsigned kCallerCount = 6;
constexpr milliseconds kStep(10);
constexpr milliseconds kReadyPoll(50);
/// Expired entries are back within about 2 s; twice that, and the rest for a
/// machine under load.
constexpr milliseconds kRecoveryTimeout(10'000);
constexpr state::Duration kStopTimeout = state::Milliseconds(15'000);
/// A cancelled request may still arrive at a server for this long.
constexpr milliseconds kLateArrivalTime(300);

}  // namespace

EdgeSoak::EdgeSoak(std::uint64_t seed, const std::string& log_folder)
    : random(seed) {
  for (const std::unique_ptr<ServerStandIn>& server : this->world.Servers()) {
    const std::uint16_t port = state::ValueOf(
        this->proxy.proxy.AddRoute({"server/" + server->Id(),
                                    "any",
                                    "any",
                                    {"127.0.0.1", server->Port()},
                                    0}));
    this->server_ports[server->Id()] = port;
    this->world.Register(*server, port);
  }
  for (const char* domain : {"a", "b", "c"}) {
    const std::string id = std::string("edge-") + domain;
    const std::uint16_t port = state::ValueOf(this->proxy.proxy.AddRoute(
        {"store/" + id, "any", "any", this->world.Store().Address(), 0}));
    Edge edge;
    edge.process = std::make_unique<EdgeProcess>(
        id, domain, state::Endpoint{"127.0.0.1", port}, this->world.Ports(),
        log_folder.empty() ? "/dev/null" : log_folder + "/" + id + ".log");
    edge.target->callers = edge.process->Callers();
    edge.process->Start();
    this->edges.push_back(std::move(edge));
  }
}

milliseconds EdgeSoak::Draw(int min_ms, int max_ms) {
  return milliseconds(
      min_ms + static_cast<int>(this->random() %
                                static_cast<std::uint64_t>(max_ms - min_ms)));
}

void EdgeSoak::ScheduleRecovery(milliseconds after, std::function<void()> act) {
  this->recoveries.push_back({steady_clock::now() + after, std::move(act)});
}

void EdgeSoak::RunDueRecoveries(TimePoint now) {
  for (std::size_t index = 0; index < this->recoveries.size();) {
    if (this->recoveries[index].at > now) {
      ++index;
      continue;
    }
    const Recovery recovery = std::move(this->recoveries[index]);
    this->recoveries.erase(this->recoveries.begin() +
                           static_cast<std::ptrdiff_t>(index));
    recovery.act();
  }
}

void EdgeSoak::InjectFault(SoakFault fault) {
  this->report.faults.emplace_back(FindName(kSoakFaultNames, fault));
  switch (fault) {
    case SoakFault::kPause:
    case SoakFault::kKill:
    case SoakFault::kStop:
    case SoakFault::kReload:
      this->InjectEdgeFault(fault);
      break;
    case SoakFault::kBlackhole:
      this->proxy.proxy.BlackholeOpen("server/*", 0.5);
      break;
    case SoakFault::kStoreSilence:
      this->proxy.proxy.BlackholeOpen("store/*", 1.0);
      break;
    case SoakFault::kStoreMode:
      this->world.Store().SetMode(
          static_cast<StoreMode>(1 + this->random() % 4));
      this->ScheduleRecovery(this->Draw(100, 900), [this] {
        this->world.Store().SetMode(StoreMode::kUp);
      });
      break;
    case SoakFault::kRoutes:
      this->world.PutRoutes(++this->version);
      break;
    default:
      this->InjectServerFault(fault);
  }
}

void EdgeSoak::InjectEdgeFault(SoakFault fault) {
  Edge& edge = this->edges[this->random() % this->edges.size()];
  if (edge.has_fault) return;
  switch (fault) {
    case SoakFault::kPause:
      edge.has_fault = true;
      ++edge.target->pauses;
      edge.process->Signal(SIGSTOP);
      this->ScheduleRecovery(this->Draw(50, 700), [&edge] {
        // Also seen by a caller that came during the pause.
        ++edge.target->pauses;
        edge.process->Signal(SIGCONT);
        edge.has_fault = false;
      });
      break;
    case SoakFault::kKill:
      this->CheckAlive(edge);
      edge.has_fault = true;
      ++edge.target->kills;
      edge.process->Signal(SIGKILL);
      edge.process->WaitForExit(kStopTimeout);
      edge.process->Start();
      this->ClearFaultWhenReady(edge, edge.target->kills);
      break;
    case SoakFault::kStop:
      edge.has_fault = true;
      ++edge.target->stops;
      edge.process->Signal(SIGTERM);
      this->ScheduleRecovery(this->Draw(400, 1'500), [this, &edge] {
        if (edge.process->WaitForExit(kStopTimeout) != 0) {
          this->report.violations.push_back(edge.process->Id() +
                                            ": a graceful shutdown failed");
        }
        edge.process->Start();
        this->ClearFaultWhenReady(edge, edge.target->stops);
      });
      break;
    default:
      edge.process->Signal(SIGHUP);
  }
}

void EdgeSoak::ClearFaultWhenReady(Edge& edge, std::atomic<int>& count) {
  if (edge.process->IsReady()) {
    ++count;
    edge.has_fault = false;
    return;
  }
  // The store may be unavailable until its own fault ends.
  this->ScheduleRecovery(kReadyPoll, [this, &edge, &count] {
    this->ClearFaultWhenReady(edge, count);
  });
}

void EdgeSoak::CheckAlive(const Edge& edge) {
  if (!edge.process->WaitForExit(state::Duration(0))) return;
  this->report.violations.push_back(edge.process->Id() +
                                    ": exited unexpectedly");
}

void EdgeSoak::InjectServerFault(SoakFault fault) {
  ServerStandIn& server =
      this->world.Server(this->random() % this->world.Servers().size());
  const std::string route = "server/" + server.Id();
  standins::RouteFaults faults;
  switch (fault) {
    case SoakFault::kDelay:
      faults.delay = state::Duration(this->Draw(5, 120));
      break;
    case SoakFault::kReset:
      faults.reset_after_bytes = 50 + this->random() % 1'000;
      break;
    case SoakFault::kDropNew:
      faults.drops_new = true;
      break;
    case SoakFault::kServerTrouble:
      server.SetMode(static_cast<ServerMode>(1 + this->random() % 3));
      this->ScheduleRecovery(this->Draw(100, 800), [&server] {
        server.SetMode(ServerMode::kServing);
      });
      return;
    case SoakFault::kSlowServer:
      server.SetServiceTime(state::Duration(this->Draw(20, 600)));
      this->ScheduleRecovery(this->Draw(100, 800), [&server] {
        server.SetServiceTime(state::Duration(0));
      });
      return;
    default:
      this->world.Store().Delete(wire::kServerPrefix + server.Id());
      this->ScheduleRecovery(this->Draw(100, 900), [this, &server] {
        this->world.Register(server, this->server_ports[server.Id()]);
      });
      return;
  }
  this->proxy.proxy.SetFaults(route, faults);
  this->ScheduleRecovery(this->Draw(100, 900), [this, route] {
    this->proxy.proxy.SetFaults(route, standins::RouteFaults());
  });
}

bool EdgeSoak::IsHealthy() {
  for (const Edge& edge : this->edges) {
    if (!edge.process->IsReady()) return false;
    RawCaller caller(edge.target->callers);
    for (const char* path : {"/desk/1", "/once/1", "/all/1"}) {
      const std::optional<RawCaller::Response> response =
          caller.Call(path, "0123456789abcdef");
      if (!response || response->result_int() != 200) return false;
      const bool is_partial = std::string(path) == "/all/1" &&
                              (*response)[wire::kMissingParts] != "0";
      if (is_partial) return false;
    }
  }
  return true;
}

std::size_t EdgeSoak::RunsOf(const std::string& id) const {
  std::size_t runs = 0;
  for (std::size_t index = 0; index < this->world.Servers().size(); ++index) {
    runs += this->world.Servers()[index]->RunsOf(id);
  }
  return runs;
}

void EdgeSoak::CheckRuns(
    const std::vector<std::unique_ptr<SoakCaller>>& callers) {
  for (const std::unique_ptr<SoakCaller>& caller : callers) {
    const SoakObservations& observations = caller->Observations();
    for (const auto& [status, count] : observations.statuses) {
      this->report.statuses[status] += count;
    }
    for (const std::string& violation : observations.violations) {
      this->report.violations.push_back(violation);
    }
    for (const std::string& id : observations.at_most_once) {
      if (this->RunsOf(id) > 1)
        this->report.violations.push_back(id + ": ran more than once");
    }
    for (const std::string& id : observations.not_run) {
      if (this->RunsOf(id) > 0) {
        this->report.violations.push_back(id +
                                          ": ran although reported as not run");
      }
    }
    for (const std::string& id : observations.lost_in_stop) {
      if (this->RunsOf(id) > 0) {
        this->report.violations.push_back(
            id + ": lost in a graceful shutdown although it ran");
      }
    }
  }
}

SoakReport EdgeSoak::Run(milliseconds duration) {
  if (!WaitFor([this] { return this->IsHealthy(); })) {
    this->report.violations.emplace_back("did not start");
    return this->report;
  }
  std::vector<std::shared_ptr<SoakTarget>> targets;
  for (const Edge& edge : this->edges) targets.push_back(edge.target);
  std::atomic<bool> is_done{false};
  std::vector<std::unique_ptr<SoakCaller>> callers;
  std::vector<std::thread> threads;
  for (unsigned number = 0; number < kCallerCount; ++number) {
    callers.push_back(
        std::make_unique<SoakCaller>(this->random(), number, targets));
  }
  for (const std::unique_ptr<SoakCaller>& caller : callers) {
    threads.emplace_back([&caller, &is_done] { caller->Run(is_done); });
  }
  const TimePoint end = steady_clock::now() + duration;
  TimePoint next = steady_clock::now();
  while (steady_clock::now() < end || !this->recoveries.empty()) {
    const TimePoint now = steady_clock::now();
    this->RunDueRecoveries(now);
    if (now >= next && now < end) {
      this->InjectFault(
          static_cast<SoakFault>(this->random() % kSoakFaultNames.size()));
      next = now + this->Draw(20, 250);
    }
    std::this_thread::sleep_for(kStep);
  }
  for (const Edge& edge : this->edges) this->CheckAlive(edge);
  const TimePoint faults_ended_at = steady_clock::now();
  if (!WaitFor([this] { return this->IsHealthy(); }) ||
      steady_clock::now() - faults_ended_at > kRecoveryTimeout) {
    this->report.violations.emplace_back("did not recover in time");
  }
  is_done = true;
  for (std::thread& thread : threads) thread.join();
  std::this_thread::sleep_for(kLateArrivalTime);
  this->CheckRuns(callers);
  return this->report;
}

}  // namespace banyanknot::platform::edge_testing
