#include "platform/edge/edge_world.h"

#include <sys/resource.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

#include "platform/wire_names.h"
#include "support/wait_until.h"

namespace banyanknot::platform::edge_testing {
namespace {

using nlohmann::json;

constexpr state::Duration kWaitTimeout = state::Milliseconds(20'000);
constexpr state::Duration kCallTimeout = state::Milliseconds(2'000);

json RouteJson(const char* name, const char* prefix, const char* type) {
  return {{"Name", name},      {"Host", EdgeWorld::kHost}, {"Prefix", prefix},
          {"RouteType", type}, {"MaxAttempts", 2},         {"TimeoutMs", 2'000},
          {"ObjectiveMs", 400}};
}

json ServiceJson(const char* name) {
  return {{"Name", name}, {"HealthPath", "/health"}, {"MaxConns", 64}};
}

state::Endpoint AllocateEndpoint(standins::FreePorts& ports) {
  return {"127.0.0.1", ports.Take()};
}

}  // namespace

bool WaitFor(const std::function<bool()>& condition) {
  return testing::WaitUntil(condition, kWaitTimeout);
}

EdgeProcess::EdgeProcess(const std::string& id, const std::string& domain,
                         const state::Endpoint& store,
                         standins::FreePorts& ports, std::string log_file)
    : id(id),
      log_file(std::move(log_file)),
      callers(AllocateEndpoint(ports)),
      ready(AllocateEndpoint(ports)),
      metrics(AllocateEndpoint(ports)),
      peers(AllocateEndpoint(ports)),
      settings_path(this->folder.Path() + "/settings.json") {
  this->settings = {{"id", id},
                    {"domain", domain},
                    {"caller_listen", ToText(this->callers)},
                    {"ready_listen", ToText(this->ready)},
                    {"metrics_listen", ToText(this->metrics)},
                    {"source", ToText(store)},
                    {"source_contact_ms", 4'000},
                    {"leave_grace_ms", 200}};
  std::ofstream(this->settings_path) << this->settings.dump();
}

void EdgeProcess::JoinFleet(const std::vector<state::Endpoint>& seeds,
                            double core_share) {
  json seed_texts = json::array();
  for (const state::Endpoint& seed : seeds) seed_texts.push_back(ToText(seed));
  this->settings["peer_listen"] = ToText(this->peers);
  this->settings["seeds"] = std::move(seed_texts);
  this->settings["core_share"] = core_share;
  std::ofstream(this->settings_path) << this->settings.dump();
}

void EdgeProcess::SetStopTimes(state::Duration leave_grace,
                               state::Duration stop_bound) {
  this->settings["leave_grace_ms"] = state::ToMilliseconds(leave_grace);
  this->settings["stop_bound_ms"] = state::ToMilliseconds(stop_bound);
  std::ofstream(this->settings_path) << this->settings.dump();
}

void EdgeProcess::SetStopGrace(double seconds) {
  this->settings["stop_grace_s"] = seconds;
  std::ofstream(this->settings_path) << this->settings.dump();
}

void EdgeProcess::SetMemory(std::size_t megabytes) {
  this->settings["memory_mb"] = megabytes;
  std::ofstream(this->settings_path) << this->settings.dump();
}

void EdgeProcess::KeepQuotas(const std::vector<std::string>& domains) {
  this->settings["quota_window_s"] = 5;
  this->settings["quota_over"] = 0.25;
  this->settings["quota_slack"] = 20;
  this->settings["domains"] = domains;
  std::ofstream(this->settings_path) << this->settings.dump();
}

void EdgeProcess::SetMaxDescriptors(std::size_t count) {
  this->max_descriptors = count;
}

void EdgeProcess::Start() {
  rlimit own{};
  getrlimit(RLIMIT_NOFILE, &own);
  if (this->max_descriptors != 0) {
    const rlimit lowered{this->max_descriptors, own.rlim_max};
    setrlimit(RLIMIT_NOFILE, &lowered);  // inherited by the process
  }
  this->process = std::make_unique<standins::ChildProcess>(
      BANYANKNOT_EDGE_PROGRAM,
      std::vector<std::string>{"--settings=" + this->settings_path},
      this->folder.Path() + "/errors", this->log_file);
  setrlimit(RLIMIT_NOFILE, &own);
}

std::optional<json> EdgeProcess::WaitForEvent(const std::string& name,
                                              state::Duration timeout) {
  while (std::optional<json> line = this->process->ReadJsonLine(timeout)) {
    if (line->value("name", "") == name) return line;
  }
  return std::nullopt;
}

bool EdgeProcess::IsReady() {
  standins::BlockingHttpClient client(kCallTimeout);
  const transport::HttpCallResult result =
      client.Call(this->ready, "GET", wire::kReadyPath, "");
  return state::IsOk(result) && state::ValueOf(result).status == 200;
}

double EdgeProcess::ReadMetric(const std::string& name) const {
  standins::BlockingHttpClient client(kCallTimeout);
  const transport::HttpCallResult result =
      client.Call(this->metrics, "GET", "/metrics", "");
  if (!state::IsOk(result)) return -1;
  const std::string& text = state::ValueOf(result).body;
  const std::size_t found = text.find("\n" + name + " ");
  if (found == std::string::npos) return -1;
  return std::stod(text.substr(found + name.size() + 2));
}

std::size_t EdgeProcess::ReadStatusKb(const std::string& field) const {
  std::ifstream status("/proc/" + std::to_string(this->process->Pid()) +
                       "/status");
  std::string word;
  while (status >> word) {
    std::size_t kilobytes = 0;
    if (word == field && status >> kilobytes) return kilobytes;
  }
  return 0;
}

std::size_t EdgeProcess::PeakResidentKb() const {
  return this->ReadStatusKb("VmHWM:");
}

std::size_t EdgeProcess::ResidentKb() const {
  return this->ReadStatusKb("VmRSS:");
}

std::uint64_t EdgeProcess::ProcessorTicks() const {
  constexpr int kFieldsBefore = 13;
  std::ifstream status("/proc/" + std::to_string(this->process->Pid()) +
                       "/stat");
  std::string word;
  for (int field = 0; field < kFieldsBefore; ++field) status >> word;
  std::uint64_t user = 0;
  std::uint64_t system = 0;
  status >> user >> system;
  return user + system;
}

std::size_t EdgeProcess::OpenDescriptors() const {
  const std::filesystem::directory_iterator entries(
      "/proc/" + std::to_string(this->process->Pid()) + "/fd");
  return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

EdgeWorld::EdgeWorld() {
  for (const char* id : {"d1", "d2", "s0", "s1"}) {
    // A gather needs records of 16 bytes, which the request id alone has.
    const std::string body = id[0] == 'd' ? " done" : "";
    this->servers.push_back(std::make_unique<ServerStandIn>(id, body));
    this->Register(*this->servers.back());
  }
  this->PutRoutes(1);
}

std::size_t EdgeWorld::RunsOf(const std::string& request_id) const {
  std::size_t runs = 0;
  for (const std::unique_ptr<ServerStandIn>& server : this->servers) {
    runs += server->RunsOf(request_id);
  }
  return runs;
}

void EdgeWorld::Register(const ServerStandIn& server, std::uint16_t port) {
  this->Register(server.Id(), port == 0 ? server.Port() : port);
}

void EdgeWorld::Register(const std::string& id, std::uint16_t port) {
  const std::string service =
      id.front() == 'd' ? "desk" : "shard" + id.substr(1);
  this->store.Put(wire::kServerPrefix + id,
                  {{"Service", service},
                   {"Address", "127.0.0.1:" + std::to_string(port)},
                   {"Zone", "a"},
                   {"Slots", 8},
                   {"State", "ready"},
                   {"born", 1}});
}

json EdgeWorld::RoutesJson(std::uint64_t version, std::size_t max_body_bytes,
                           state::Duration header_timeout) {
  json desk = RouteJson("desk", "/desk/", "idempotent");
  desk["Service"] = "desk";
  json once = RouteJson("once", "/once/", "non_idempotent");
  once["Service"] = "desk";
  json all = RouteJson("all", "/all/", "idempotent");
  all["Gather"] = {"shard0", "shard1"};
  all["TopK"] = 4;
  all["MinCoverage"] = 0.5;
  return {{"Version", version},
          {"Routes", {desk, once, all}},
          {"Services",
           {ServiceJson("desk"), ServiceJson("shard0"), ServiceJson("shard1")}},
          {"Limits",
           {{"MaxHeaderBytes", 4'096},
            {"MaxBodyBytes", max_body_bytes},
            {"HeaderTimeoutMs", state::ToMilliseconds(header_timeout)},
            {"IdleTimeoutMs", 10'000}}}};
}

void EdgeWorld::PutRoutes(std::uint64_t version, std::size_t max_body_bytes,
                          state::Duration header_timeout) {
  this->store.Put(wire::kRoutesKey,
                  RoutesJson(version, max_body_bytes, header_timeout));
}

void EdgeWorld::PutRoutesAnd(std::uint64_t version,
                             const std::vector<RelayedRoute>& added) {
  json routes = RoutesJson(version, 8'192, state::Milliseconds(3'000));
  for (const RelayedRoute& route : added) {
    routes["Routes"].push_back(
        RouteJson(route.prefix.c_str(), route.prefix.c_str(), "idempotent"));
    routes["Routes"].back()["Service"] = route.service;
  }
  this->store.Put(wire::kRoutesKey, routes);
}

void EdgeWorld::PutWorkspaces(std::uint64_t version, const json& workspaces) {
  json routes = RoutesJson(version, 8'192, state::Milliseconds(3'000));
  routes["Routes"][0]["AuthExempt"] = true;
  routes["Tenants"] = workspaces;
  this->store.Put(wire::kRoutesKey, routes);
}

}  // namespace banyanknot::platform::edge_testing
