#include "deployment.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include "banyanknot/state/util/assert.h"

namespace banyanknot::standins {
namespace {

using nlohmann::json;

constexpr state::Duration kStartBound = state::Milliseconds(20'000);
constexpr state::Duration kCallTimeout = state::Milliseconds(5'000);
constexpr std::chrono::milliseconds kReadyPoll(20);
constexpr unsigned kHttpOk = 200;
constexpr std::size_t kProxyThreads = 2;
constexpr std::uint64_t kProxySeed = 1;
const char* const kPlatformDomain = "platform";
const char* const kAddress = "127.0.0.1";

json ReadFile(const std::string& file) {
  std::ifstream stream(file);
  return json::parse(stream, nullptr, false);
}

json ToJson(const state::Endpoint& endpoint) {
  return {{"address", endpoint.address}, {"port", endpoint.port}};
}

state::Endpoint Local(const json& line, const char* member) {
  return {kAddress, line.value(member, std::uint16_t{0})};
}

}  // namespace

DeploymentPlan ReadPlan(const std::string& program_folder,
                        const std::string& example_folder) {
  DeploymentPlan plan;
  plan.program_folder = program_folder;
  plan.catalogue = ReadFile(example_folder + "/catalogue.json");
  plan.backends = ReadFile(example_folder + "/backends.json");
  plan.hosts = ReadFile(example_folder + "/hosts.json");
  plan.host_settings = json::object();
  return plan;
}

ProxyParts::ProxyParts()
    : threads(kProxyThreads),
      random(kProxySeed),
      proxy(threads.Context(), locator, random) {}

ProxyParts::~ProxyParts() { this->threads.Stop(); }

Deployment::Deployment(DeploymentPlan plan)
    : plan(std::move(plan)), client(kCallTimeout) {
  if (this->plan.use_proxy) this->proxy = std::make_unique<ProxyParts>();
  for (json& server : this->plan.backends["servers"]) server["port"] = 0;
}

Deployment::~Deployment() { this->hosts.clear(); }

std::string Deployment::Program(const std::string& name) const {
  return this->plan.program_folder + "/" + name;
}

std::string Deployment::WriteFile(const std::string& name, const json& value) {
  std::string file = this->folder.Path() + "/" + name;
  std::ofstream(file) << value.dump();
  return file;
}

std::string Deployment::Errors() const {
  std::ifstream stream(this->folder.Path() + "/errors");
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

std::string Deployment::Start() {
  std::string error = this->StartBackends();
  if (error.empty()) error = this->StartPlatform();
  if (error.empty()) error = this->StartHosts();
  return error;
}

std::string Deployment::StartBackends() {
  this->backend_process = std::make_unique<ChildProcess>(
      this->Program("standin_backend"),
      std::vector<std::string>{
          "--settings=" + this->WriteFile("backends", this->plan.backends)},
      this->folder.Path() + "/errors");
  json ports = json::object();
  while (true) {
    const std::optional<json> line =
        this->backend_process->ReadJsonLine(kStartBound);
    if (!line) return "backend stand-ins did not start: " + this->Errors();
    if (line->contains("started")) break;
    if (line->contains("admin_port")) {
      this->backend_admin = Local(*line, "admin_port");
    } else {
      ports[line->value("id", "")] = line->value("port", 0);
    }
  }
  this->SetBackendPorts(ports);
  return "";
}

void Deployment::SetBackendPorts(const json& ports) {
  for (auto& [key, entry] : this->plan.catalogue.items()) {
    if (!entry.contains("servers")) continue;
    for (json& server : entry["servers"]) {
      const std::string id = server.value("id", "");
      server["address"] = kAddress;
      server["port"] =
          this->RoutePort({"server/" + id,
                           "",
                           server.value("domain", ""),
                           {kAddress, ports.value(id, std::uint16_t{0})},
                           0});
    }
  }
}

FaultProxy& Deployment::Proxy() {
  BANYANKNOT_ASSERT(this->proxy != nullptr, "ask for the proxy in the plan");
  return this->proxy->proxy;
}

std::uint16_t Deployment::RoutePort(const ProxyRoute& route) {
  if (this->proxy == nullptr) return route.target.port;
  const state::Result<std::uint16_t, transport::TransportError> port =
      this->proxy->proxy.AddRoute(route);
  return state::IsOk(port) ? state::ValueOf(port) : std::uint16_t{0};
}

state::Endpoint Deployment::PlatformFor(const std::string& domain) {
  const auto found = this->platform_routes.find(domain);
  if (found != this->platform_routes.end()) return found->second;
  state::Endpoint endpoint{
      kAddress, this->RoutePort({"platform/" + domain, domain, kPlatformDomain,
                                 this->platform, 0})};
  this->platform_routes[domain] = endpoint;
  return endpoint;
}

std::string Deployment::StartPlatform() {
  this->platform_process = std::make_unique<ChildProcess>(
      this->Program("standin_platform"),
      std::vector<std::string>{
          "--catalogue=" + this->WriteFile("catalogue", this->plan.catalogue)},
      this->folder.Path() + "/errors");
  const std::optional<json> line =
      this->platform_process->ReadJsonLine(kStartBound);
  if (!line) return "platform stand-in did not start: " + this->Errors();
  this->platform = Local(*line, "port");
  return "";
}

std::string Deployment::StartHosts() {
  for (const json& listed : this->plan.hosts["hosts"]) {
    DeployedHost host;
    host.id = listed.value("id", "");
    host.domain = listed.value("domain", "");
    host.caller = {kAddress, this->free_ports.Take()};
    host.peer = {kAddress, this->free_ports.Take()};
    this->peer_routes[host.id] =
        this->RoutePort({"peer/" + host.id, "", host.domain, host.peer, 0});
    this->hosts.push_back(std::move(host));
  }
  if (!this->PublishHosts({})) return "platform took no host list";
  for (DeployedHost& host : this->hosts) {
    json settings = this->plan.host_settings;
    settings["id"] = host.id;
    settings["domain"] = host.domain;
    settings["caller_listen"] = ToJson(host.caller);
    settings["peer_listen"] = ToJson(host.peer);
    if (this->proxy != nullptr) {
      settings["connect_from"] = this->proxy->locator.AddressOf(host.domain);
    }
    if (!settings.contains("platform")) {
      settings["platform"] = ToJson(this->PlatformFor(host.domain));
    }
    host.settings_file = this->WriteFile(host.id, settings);
    if (!this->StartHost(host)) {
      return host.id + " did not start: " + this->Errors();
    }
  }
  for (const DeployedHost& host : this->hosts) {
    if (!this->WaitForReady(host, kStartBound)) {
      return host.id + " did not get ready: " + this->Errors();
    }
  }
  return "";
}

bool Deployment::StartHost(DeployedHost& host) {
  host.process = std::make_unique<ChildProcess>(
      this->Program("banyanknot_host"),
      std::vector<std::string>{"--settings=" + host.settings_file},
      this->folder.Path() + "/errors");
  return host.process->ReadJsonLine(kStartBound).has_value();
}

bool Deployment::WaitForReady(const DeployedHost& host, state::Duration bound) {
  const std::chrono::steady_clock::time_point deadline =
      std::chrono::steady_clock::now() + bound;
  while (std::chrono::steady_clock::now() < deadline) {
    if (this->client.CallForJson(host.caller, "GET", "/ready", "")) return true;
    std::this_thread::sleep_for(kReadyPoll);
  }
  return false;
}

DeployedHost& Deployment::HostIn(const std::string& domain) {
  const auto found = std::find_if(
      this->hosts.begin(), this->hosts.end(),
      [&domain](const DeployedHost& host) { return host.domain == domain; });
  BANYANKNOT_ASSERT(found != this->hosts.end(),
                    "name a failure domain that has a host");
  return *found;
}

std::vector<state::Endpoint> Deployment::CallerEndpoints() const {
  std::vector<state::Endpoint> endpoints;
  for (const DeployedHost& host : this->hosts) {
    endpoints.push_back(host.caller);
  }
  return endpoints;
}

std::uint64_t Deployment::Publish(const std::string& key, const json& entry) {
  this->plan.catalogue[key] = entry;
  const std::optional<json> reply = this->client.CallForJson(
      this->platform, "PUT", "/admin/entries/" + key, entry.dump());
  return reply ? reply->value("revision", std::uint64_t{0}) : 0;
}

bool Deployment::SetDomainState(const std::string& domain,
                                const std::string& state) {
  const std::string key = "domain/" + domain;
  json entry = this->plan.catalogue[key];
  entry["state"] = state;
  return this->Publish(key, entry) != 0;
}

json Deployment::HostListJson(const std::vector<std::string>& leaving) const {
  json list = json::array();
  for (const DeployedHost& host : this->hosts) {
    const bool is_leaving =
        std::find(leaving.begin(), leaving.end(), host.id) != leaving.end();
    list.push_back({{"id", host.id},
                    {"domain", host.domain},
                    {"address", kAddress},
                    {"peer_port", this->peer_routes.at(host.id)},
                    {"caller_port", host.caller.port},
                    {"leaving", is_leaving}});
  }
  return {{"hosts", std::move(list)}};
}

bool Deployment::PublishHosts(const std::vector<std::string>& leaving) {
  return this->ChangePlatform("/admin/hosts", this->HostListJson(leaving));
}

bool Deployment::ChangePlatform(const std::string& target, const json& value) {
  return this->client.CallForJson(this->platform, "PUT", target, value.dump())
      .has_value();
}

bool Deployment::ChangeBackend(const std::string& pattern, const json& value) {
  const transport::HttpCallResult result = this->client.Call(
      this->backend_admin, "PUT", "/admin/servers/" + pattern, value.dump());
  return state::IsOk(result) && state::ValueOf(result).status == kHttpOk;
}

json Deployment::BackendCounters() {
  return this->client
      .CallForJson(this->backend_admin, "GET", "/admin/counters", "")
      .value_or(json{{"servers", json::object()}, {"actions", json::object()}});
}

std::uint64_t Deployment::StartedSubRequests() {
  const json counters = this->BackendCounters();
  std::uint64_t started = 0;
  for (const json& server : counters["servers"]) {
    started += server["started"].get<std::uint64_t>();
  }
  return started;
}

}  // namespace banyanknot::standins
