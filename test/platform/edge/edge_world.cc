#include "platform/edge/edge_world.h"

#include <fstream>
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

void EdgeProcess::Start() {
  this->process = std::make_unique<standins::ChildProcess>(
      BANYANKNOT_EDGE_PROGRAM,
      std::vector<std::string>{"--settings=" + this->settings_path},
      this->folder.Path() + "/errors", this->log_file);
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

std::size_t EdgeProcess::PeakResidentKb() const {
  std::ifstream status("/proc/" + std::to_string(this->process->Pid()) +
                       "/status");
  std::string word;
  while (status >> word) {
    std::size_t kilobytes = 0;
    if (word == "VmHWM:" && status >> kilobytes) return kilobytes;
  }
  return 0;
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

void EdgeWorld::PutRoutes(std::uint64_t version, std::size_t max_body_bytes) {
  json desk = RouteJson("desk", "/desk/", "idempotent");
  desk["Service"] = "desk";
  json once = RouteJson("once", "/once/", "non_idempotent");
  once["Service"] = "desk";
  json all = RouteJson("all", "/all/", "idempotent");
  all["Gather"] = {"shard0", "shard1"};
  all["TopK"] = 4;
  all["MinCoverage"] = 0.5;
  this->store.Put(
      wire::kRoutesKey,
      {{"Version", version},
       {"Routes", {desk, once, all}},
       {"Services",
        {ServiceJson("desk"), ServiceJson("shard0"), ServiceJson("shard1")}},
       {"Limits",
        {{"MaxHeaderBytes", 4'096},
         {"MaxBodyBytes", max_body_bytes},
         {"HeaderTimeoutMs", 3'000},
         {"IdleTimeoutMs", 10'000}}}});
}

}  // namespace banyanknot::platform::edge_testing
