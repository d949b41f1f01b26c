#include "platform/storm/route_storm.h"

#include <algorithm>
#include <csignal>
#include <thread>
#include <utility>

#include "platform/edge/raw_caller.h"
#include "platform/wire_names.h"

namespace banyanknot::platform::edge_testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

/// Time from the acknowledgement of a version until it is in force.
constexpr milliseconds kApplyTime(3'000);
/// Time without disturbance after which an edge is in touch.
constexpr milliseconds kContactTime(4'000);
/// Time for which a request may still meet routes older than those shown.
constexpr milliseconds kRollbackSlack(500);
constexpr milliseconds kStep(10);
constexpr milliseconds kReadyPoll(50);
constexpr milliseconds kPauseBetweenCalls(4);
constexpr state::Duration kStopTimeout = state::Milliseconds(15'000);
constexpr int kPrefixes = 500;
constexpr int kCallersPerEdge = 2;
constexpr std::uint64_t kNewConnectionOneIn = 40;
constexpr std::size_t kRecentChanges = 24;

constexpr const char* kServices[] = {"desk", "shard0", "shard1"};

std::string PrefixOf(int number) { return "/p" + std::to_string(number) + "/"; }

/// Returns the service whose server ran a request; kNoRoute without a route;
/// nothing for other refusals.
std::string HandledBy(const std::optional<RawCaller::Response>& response) {
  const unsigned status = StatusOf(response);
  if (status == 404) return RouteHistory::kNoRoute;
  if (status != 200) return std::string();
  const std::string signature((*response)[wire::kSignature]);
  return signature.front() == 'd' ? "desk" : "shard" + signature.substr(1, 1);
}

}  // namespace

RouteStorm::Shown RouteStorm::Edge::LastShown() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->shown;
}

void RouteStorm::Edge::Show(const Shown& newer) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (newer.start != this->shown.start) return;
  this->shown.version = std::max(this->shown.version, newer.version);
}

void RouteStorm::Edge::Restart() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->shown = {this->shown.start + 1, 0};
  }
  this->process->Start();
}

RouteStorm::RouteStorm(StormOptions options)
    : options(std::move(options)), random(this->options.seed) {
  const int count = this->Draw(4, 7);
  // Five or more of one domain share their watches.
  const bool has_one_domain = this->random() % 2 == 0;
  for (int index = 0; index < count; ++index) {
    const std::string id = "edge-" + std::to_string(index);
    const std::uint16_t port = state::ValueOf(this->proxy.proxy.AddRoute(
        {"store/" + id, "any", "any", this->world.Store().Address(), 0}));
    std::unique_ptr<Edge> edge = std::make_unique<Edge>();
    edge->process = std::make_unique<EdgeProcess>(
        id, has_one_domain || index % 2 == 0 ? "a" : "b",
        state::Endpoint{"127.0.0.1", port}, this->world.Ports(),
        this->options.log_folder.empty()
            ? "/dev/null"
            : this->options.log_folder + "/" + id + ".log");
    this->edges.push_back(std::move(edge));
  }
  for (const std::unique_ptr<Edge>& edge : this->edges) {
    edge->process->JoinFleet(
        {this->edges[0]->process->Peers(), this->edges[1]->process->Peers()},
        0.2);
  }
}

int RouteStorm::Draw(int min, int max) {
  return min + static_cast<int>(this->random() %
                                static_cast<std::uint64_t>(max - min));
}

std::string RouteStorm::TimeText(TimePoint time) const {
  return std::to_string(
      std::chrono::duration_cast<milliseconds>(time - this->started_at)
          .count());
}

void RouteStorm::Record(const std::string& event) {
  this->report.events.push_back(this->TimeText(steady_clock::now()) + " " +
                                event);
}

void RouteStorm::RecordViolation(const std::string& subject,
                                 const std::string& violation) {
  const std::lock_guard<std::mutex> lock(this->report_mutex);
  StormViolation& recorded = this->report.violations[subject];
  recorded.last_time = this->TimeText(steady_clock::now());
  if (recorded.count++ == 0)
    recorded.first = this->TimeText(steady_clock::now()) + " " + violation;
}

void RouteStorm::ScheduleRecovery(milliseconds after,
                                  std::function<void()> act) {
  this->recoveries.push_back({steady_clock::now() + after, std::move(act)});
}

void RouteStorm::RunDueRecoveries() {
  const TimePoint now = steady_clock::now();
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

void RouteStorm::DisturbAll() {
  this->is_store_calm = false;
  for (const std::unique_ptr<Edge>& edge : this->edges) {
    edge->calm_since = TimePoint::max();
  }
}

void RouteStorm::CalmAll() {
  this->is_store_calm = true;
  for (const std::unique_ptr<Edge>& edge : this->edges) {
    if (!edge->has_fault) edge->calm_since = steady_clock::now();
  }
}

void RouteStorm::InjectFault(StormFault fault) {
  Edge& edge = *this->edges[this->random() % this->edges.size()];
  const std::string name(FindName(kStormFaultNames, fault));
  switch (fault) {
    case StormFault::kStoreSilence:
      if (edge.has_fault || !this->is_store_calm) return;
      this->Record(name + " " + edge.process->Id());
      this->proxy.proxy.BlackholeOpen("store/" + edge.process->Id(), 1.0);
      edge.calm_since = steady_clock::now();
      break;
    case StormFault::kStoreSilenceOfAll:
      if (!this->is_store_calm) return;
      this->Record(name);
      this->proxy.proxy.BlackholeOpen("store/*", 1.0);
      this->CalmAll();
      break;
    case StormFault::kStoreDelay: {
      if (edge.has_fault) return;
      this->Record(name + " " + edge.process->Id());
      edge.has_fault = true;
      edge.calm_since = TimePoint::max();
      standins::RouteFaults faults;
      faults.delay = state::Milliseconds(this->Draw(20, 900));
      const std::string route = "store/" + edge.process->Id();
      this->proxy.proxy.SetFaults(route, faults);
      this->ScheduleRecovery(
          milliseconds(this->Draw(200, 1'500)), [this, route, &edge] {
            this->proxy.proxy.SetFaults(route, standins::RouteFaults());
            edge.has_fault = false;
            if (this->is_store_calm) edge.calm_since = steady_clock::now();
          });
      break;
    }
    case StormFault::kStoreMode: {
      if (!this->is_store_calm) return;
      const int mode = this->Draw(1, 5);
      this->Record(name + " " + std::to_string(mode));
      this->DisturbAll();
      this->world.Store().SetMode(static_cast<StoreMode>(mode));
      this->ScheduleRecovery(milliseconds(this->Draw(50, 2'500)), [this] {
        this->world.Store().SetMode(StoreMode::kUp);
        this->CalmAll();
      });
      break;
    }
    case StormFault::kStoreReturn:
      this->ReturnStore();
      break;
    default:
      this->InjectEdgeFault(fault);
  }
}

void RouteStorm::ReturnStore() {
  if (!this->options.has_store_returns || !this->is_store_calm) return;
  this->Record("store_return");
  this->DisturbAll();
  const bool is_away = this->random() % 2 == 0;
  if (is_away) this->world.Store().SetMode(StoreMode::kRefusing);
  this->ScheduleRecovery(milliseconds(this->Draw(50, 900)), [this] {
    const bool writes_at_once = this->random() % 2 == 0;
    {
      const std::lock_guard<std::mutex> lock(this->publish_mutex);
      this->world.Store().ReturnFromCopy(this->copy);
      if (writes_at_once) this->WriteRoutes();
    }
    this->world.Store().SetMode(StoreMode::kUp);
    const auto write_again = [this] {
      {
        const std::lock_guard<std::mutex> lock(this->publish_mutex);
        this->WriteRoutes();
      }
      for (const std::unique_ptr<ServerStandIn>& server :
           this->world.Servers()) {
        this->world.Register(*server);
      }
      this->CalmAll();
    };
    if (writes_at_once) {
      write_again();
    } else {
      this->ScheduleRecovery(milliseconds(this->Draw(0, 1'000)), write_again);
    }
  });
}

void RouteStorm::InjectEdgeFault(StormFault fault) {
  Edge& edge = *this->edges[this->random() % this->edges.size()];
  if (edge.has_fault) return;
  this->Record(std::string(FindName(kStormFaultNames, fault)) + " " +
               edge.process->Id());
  if (fault == StormFault::kReload) {
    edge.process->Signal(SIGHUP);
    return;
  }
  edge.has_fault = true;
  edge.calm_since = TimePoint::max();
  switch (fault) {
    case StormFault::kPause:
      edge.process->Signal(SIGSTOP);
      this->ScheduleRecovery(milliseconds(this->Draw(50, 3'000)),
                             [this, &edge] {
                               edge.process->Signal(SIGCONT);
                               this->CalmWhenReady(edge);
                             });
      break;
    case StormFault::kKill:
      edge.process->Signal(SIGKILL);
      edge.process->WaitForExit(kStopTimeout);
      edge.Restart();
      this->CalmWhenReady(edge);
      break;
    default:
      edge.process->Signal(SIGTERM);
      this->ScheduleRecovery(milliseconds(this->Draw(400, 1'500)),
                             [this, &edge] {
                               edge.process->WaitForExit(kStopTimeout);
                               edge.Restart();
                               this->CalmWhenReady(edge);
                             });
  }
}

void RouteStorm::CalmWhenReady(Edge& edge) {
  if (edge.process->IsReady()) {
    edge.has_fault = false;
    if (this->is_store_calm) edge.calm_since = steady_clock::now();
    return;
  }
  this->ScheduleRecovery(kReadyPoll,
                         [this, &edge] { this->CalmWhenReady(edge); });
}

StormFault RouteStorm::DrawFault() {
  return static_cast<StormFault>(this->random() % kStormFaultNames.size());
}

void RouteStorm::WriteRoutes() {
  std::vector<RelayedRoute> written;
  for (const auto& [prefix, service] : this->routes) {
    written.push_back({prefix, service});
  }
  this->world.PutRoutesAnd(this->version, written);
}

void RouteStorm::PublishNext(std::mt19937_64& draws) {
  const std::lock_guard<std::mutex> lock(this->publish_mutex);
  if (draws() % 8 == 0 && !this->earlier.empty()) {
    this->routes = this->earlier[draws() % this->earlier.size()];
  } else {
    const std::uint64_t changes = draws() % 16 == 0 ? 60 : 1 + draws() % 8;
    const bool grows = draws() % 3 != 0;
    for (std::uint64_t change = 0; change < changes; ++change) {
      const std::string prefix =
          PrefixOf(static_cast<int>(draws() % kPrefixes));
      if (grows || this->routes.count(prefix) == 0) {
        this->routes[prefix] = kServices[draws() % std::size(kServices)];
      } else {
        this->routes.erase(prefix);
      }
    }
  }
  this->earlier.push_back(this->routes);
  this->version += 1 + draws() % 5;
  this->history.Add(this->version, this->routes);
  this->WriteRoutes();
  this->history.Acknowledge(steady_clock::now());
}

void RouteStorm::Publish(std::uint64_t seed) {
  std::mt19937_64 draws(seed);
  while (!this->is_done) {
    const std::uint64_t burst = 1 + draws() % 20;
    for (std::uint64_t index = 0; index < burst && !this->is_done; ++index) {
      this->PublishNext(draws);
      if (draws() % 3 == 0) {
        this->world.Register(
            this->world.Server(draws() % this->world.Servers().size()));
      }
      if (draws() % 12 == 0) {
        const std::lock_guard<std::mutex> lock(this->publish_mutex);
        this->copy = this->world.Store().TakeCopy();
      }
      std::this_thread::sleep_for(milliseconds(50 + draws() % 250));
    }
    std::this_thread::sleep_for(milliseconds(200 + draws() % 4'500));
  }
}

void RouteStorm::Call(Edge& edge, unsigned number, std::uint64_t seed) {
  std::mt19937_64 draws(seed);
  std::unique_ptr<RawCaller> connection;
  std::map<std::string, std::size_t> outcomes;
  for (std::uint64_t call = 0; !this->is_done; ++call) {
    if (connection == nullptr || draws() % kNewConnectionOneIn == 0) {
      connection = std::make_unique<RawCaller>(edge.process->Callers());
    }
    const std::string prefix =
        draws() % 4 != 0 ? this->history.RecentPrefix(draws(), kRecentChanges)
                         : PrefixOf(static_cast<int>(draws() % kPrefixes));
    const TimePoint calm_since = edge.calm_since;
    const Shown shown = edge.LastShown();
    const TimePoint sent_at = steady_clock::now();
    const std::optional<RawCaller::Response> response = connection->Call(
        prefix, "storm-" + std::to_string(number) + "-" + std::to_string(call));
    ++outcomes[std::to_string(StatusOf(response))];
    if (!response || !response->keep_alive()) connection.reset();
    const std::string service = HandledBy(response);
    if (!service.empty() && shown.start == edge.LastShown().start) {
      this->Check(edge, prefix, service, sent_at, calm_since, shown);
    }
    std::this_thread::sleep_for(kPauseBetweenCalls);
  }
  const std::lock_guard<std::mutex> lock(this->report_mutex);
  for (const auto& [outcome, count] : outcomes) {
    this->report.outcomes[outcome] += count;
  }
}

void RouteStorm::Check(Edge& edge, const std::string& prefix,
                       const std::string& service, TimePoint sent_at,
                       TimePoint calm_since, const Shown& shown) {
  const std::string what = edge.process->Id() + " " + prefix + " by " +
                           service + ", versions" +
                           this->history.Describe(prefix);
  if (this->history.FirstFrom(shown.version, prefix, service) == 0) {
    this->RecordViolation(
        edge.process->Id() + " went back, process " +
            std::to_string(shown.start),
        what + ": older than " + std::to_string(shown.version));
  }
  const std::uint64_t oldest = this->history.NewestBy(sent_at - kApplyTime);
  const bool is_in_touch = calm_since != TimePoint::max() &&
                           calm_since + kContactTime <= sent_at &&
                           edge.calm_since.load() == calm_since;
  if (is_in_touch) {
    {
      const std::lock_guard<std::mutex> lock(this->report_mutex);
      ++this->report.checked;
    }
    if (this->history.FirstFrom(oldest, prefix, service) == 0) {
      this->RecordViolation(
          edge.process->Id() + " in touch since " + this->TimeText(calm_since),
          what + ": older than " + std::to_string(oldest));
    }
  }
  const std::uint64_t proved = this->history.FirstFrom(1, prefix, service);
  if (steady_clock::now() - sent_at > kRollbackSlack) return;
  edge.Show({shown.start, proved});
}

StormReport RouteStorm::Run(milliseconds duration) {
  this->started_at = steady_clock::now();
  this->copy = this->world.Store().TakeCopy();
  for (const std::unique_ptr<Edge>& edge : this->edges) {
    edge->process->Start();
  }
  for (const std::unique_ptr<Edge>& edge : this->edges) {
    if (!WaitFor([&edge] { return edge->process->IsReady(); })) {
      this->RecordViolation(edge->process->Id(), "did not start");
      return this->report;
    }
    edge->calm_since = steady_clock::now();
  }
  std::vector<std::thread> threads;
  threads.emplace_back([this, seed = this->random()] { this->Publish(seed); });
  unsigned number = 0;
  for (const std::unique_ptr<Edge>& edge : this->edges) {
    for (int caller = 0; caller < kCallersPerEdge; ++caller) {
      threads.emplace_back([this, &edge, number, seed = this->random()] {
        this->Call(*edge, number, seed);
      });
      ++number;
    }
  }
  const TimePoint end = steady_clock::now() + duration;
  bool is_stormy = true;
  TimePoint phase_end = steady_clock::now() + milliseconds(2'000);
  TimePoint next = steady_clock::now();
  while (steady_clock::now() < end || !this->recoveries.empty()) {
    const TimePoint now = steady_clock::now();
    this->RunDueRecoveries();
    if (now >= phase_end) {
      is_stormy = !is_stormy;
      phase_end = now + milliseconds(is_stormy ? this->Draw(300, 3'000)
                                               : this->Draw(5'000, 9'000));
      next = now + milliseconds(is_stormy ? 0 : this->Draw(1'000, 12'000));
    }
    if (now >= next && now < end) {
      this->InjectFault(this->DrawFault());
      next = now + milliseconds(is_stormy ? this->Draw(30, 400)
                                          : this->Draw(1'000, 12'000));
    }
    std::this_thread::sleep_for(kStep);
  }
  // Leaves time in which all edges are in touch.
  std::this_thread::sleep_for(kContactTime + kApplyTime);
  this->is_done = true;
  for (std::thread& thread : threads) thread.join();
  for (const std::unique_ptr<Edge>& edge : this->edges) {
    if (edge->process->WaitForExit(state::Duration(0))) {
      this->RecordViolation(edge->process->Id(), "exited");
    }
  }
  this->report.versions = this->version;
  return this->report;
}

}  // namespace banyanknot::platform::edge_testing
