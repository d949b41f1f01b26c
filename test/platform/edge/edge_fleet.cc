#include "platform/edge/edge_fleet.h"

#include <algorithm>
#include <thread>

#include "platform/wire_names.h"

namespace banyanknot::platform::edge_testing {
namespace {

constexpr const char* kOldService = "shard0";
constexpr const char* kNewService = "shard1";
/// Time over which the store's calls are counted, and as many as two watchers
/// make in it.
constexpr std::chrono::milliseconds kCountTime(4'500);
constexpr std::size_t kMaxWatcherCalls = 7;

std::string ServerOf(const std::optional<RawCaller::Response>& response) {
  if (StatusOf(response) != 200) return std::to_string(StatusOf(response));
  const std::string signature((*response)[wire::kSignature]);
  return signature.substr(0, signature.find('/'));
}

}  // namespace

EdgeFleet::EdgeFleet(std::size_t edge_count) {
  this->PutOldRoutes(2);
  for (std::size_t index = 0; index < edge_count; ++index) {
    const std::string id = "edge-" + std::to_string(index);
    const std::uint16_t port = state::ValueOf(this->proxy.proxy.AddRoute(
        {"store/" + id, "any", "any", this->world.Store().Address(), 0}));
    this->edges.push_back(std::make_unique<EdgeProcess>(
        id, "a", state::Endpoint{"127.0.0.1", port}, this->world.Ports(),
        this->folder.Path() + "/" + id));
  }
  if (edge_count == 1) return;
  for (const std::unique_ptr<EdgeProcess>& edge : this->edges) {
    edge->JoinFleet({this->edges[0]->Peers()}, 0.2);
  }
}

bool EdgeFleet::Start() {
  for (const std::unique_ptr<EdgeProcess>& edge : this->edges) edge->Start();
  for (const std::unique_ptr<EdgeProcess>& edge : this->edges) {
    if (!WaitFor([&edge] { return edge->IsReady(); })) return false;
    this->callers.push_back(std::make_unique<RawCaller>(edge->Callers()));
  }
  return WaitFor([this] {
    for (std::size_t edge = 0; edge < this->edges.size(); ++edge) {
      if (this->Run(edge, kMoved) != kOldServer) return false;
    }
    return true;
  });
}

void EdgeFleet::PutOldRoutes(std::uint64_t version) {
  this->world.PutRoutesAnd(version, {{kMoved, kOldService}});
}

void EdgeFleet::PutNewRoutes(std::uint64_t version, std::size_t more) {
  std::vector<RelayedRoute> added = {{kMoved, kNewService},
                                     {kAdded, kNewService}};
  for (std::size_t index = 0; index < more; ++index) {
    added.push_back({"/more" + std::to_string(index) + "/", kNewService});
  }
  this->world.PutRoutesAnd(version, added);
}

void EdgeFleet::RegisterServers() {
  for (const std::unique_ptr<ServerStandIn>& server : this->world.Servers()) {
    this->world.Register(*server);
  }
}

std::string EdgeFleet::NextId() {
  return "fleet-" + std::to_string(++this->requests);
}

std::string EdgeFleet::Run(std::size_t edge, const char* prefix) {
  std::unique_ptr<RawCaller>& caller = this->callers[edge];
  std::optional<RawCaller::Response> response =
      caller->Call(prefix, this->NextId());
  if (!response) {
    // Closed because it was idle.
    caller = std::make_unique<RawCaller>(this->edges[edge]->Callers());
    response = caller->Call(prefix, this->NextId());
  }
  return ServerOf(response);
}

std::string EdgeFleet::RunAnew(std::size_t edge, const char* prefix) {
  RawCaller caller(this->edges[edge]->Callers());
  return ServerOf(caller.Call(prefix, this->NextId()));
}

bool EdgeFleet::WaitForVersion(double version) {
  return WaitFor([this, version] {
    return std::all_of(this->edges.begin(), this->edges.end(),
                       [version](const std::unique_ptr<EdgeProcess>& edge) {
                         return edge->ReadMetric("banyanknot_routes_version") >=
                                version;
                       });
  });
}

bool EdgeFleet::WaitUntilFollowing() {
  return WaitFor([this] {
    const std::size_t before = this->Store().Calls();
    std::this_thread::sleep_for(kCountTime);
    return this->Store().Calls() - before <= kMaxWatcherCalls;
  });
}

void EdgeFleet::SilenceStoreOf(std::size_t edge) {
  this->proxy.proxy.BlackholeOpen("store/" + this->edges[edge]->Id(), 1.0);
}

std::string EdgeFleet::OldAnswers(std::size_t edge) {
  std::string answers;
  for (const char* prefix : {kMoved, kAdded}) {
    for (const std::string& server :
         {this->Run(edge, prefix), this->RunAnew(edge, prefix)}) {
      if (server == kNewServer) continue;
      answers += this->edges[edge]->Id() + " " + prefix + " " + server + "; ";
    }
  }
  return answers;
}

std::string EdgeFleet::OldAnswersInTime(TimePoint written_at,
                                        TimePoint calm_since,
                                        std::size_t first) {
  std::this_thread::sleep_until(
      std::max(written_at + kApplyTime, calm_since + kContactTime));
  std::string answers;
  for (std::size_t edge = first; edge < this->edges.size(); ++edge) {
    answers += this->OldAnswers(edge);
  }
  return answers;
}

}  // namespace banyanknot::platform::edge_testing
