#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <future>

#include "backend_fleet.h"
#include "banyanknot/Transport"

DEFINE_string(settings, "",
              "JSON file: {\"defaults\": {...}, \"servers\": [{...}]}");
DEFINE_string(address, "127.0.0.1", "address to listen on");
DEFINE_int32(first_port, 0, "port of the first server; 0 takes free ports");
DEFINE_int32(servers, 1, "number of servers if there are no settings");
DEFINE_int32(admin_port, 0, "port for administration; 0 takes a free one");
DEFINE_int32(threads, 2, "threads that serve");

namespace {

using banyanknot::standins::BackendBehaviour;

/// Reads the settings; empty after it said what is wrong.
std::vector<BackendBehaviour> ReadSettings() {
  std::vector<BackendBehaviour> behaviours;
  std::ifstream stream(FLAGS_settings);
  const nlohmann::json settings = nlohmann::json::parse(stream, nullptr, false);
  if (!settings.is_object()) {
    std::fprintf(stderr, "%s: not a JSON object\n", FLAGS_settings.c_str());
    return behaviours;
  }
  const nlohmann::json defaults =
      settings.value("defaults", nlohmann::json::object());
  for (const nlohmann::json& server :
       settings.value("servers", nlohmann::json::array())) {
    BackendBehaviour behaviour;
    for (const nlohmann::json* part : {&defaults, &server}) {
      const std::optional<banyanknot::protocol::ProtocolError> error =
          banyanknot::standins::ApplyBehaviour(*part, behaviour);
      if (!error) continue;
      std::fprintf(stderr, "%s:%s: %s\n", FLAGS_settings.c_str(),
                   error->pointer.c_str(), error->reason.c_str());
      return {};
    }
    behaviours.push_back(behaviour);
  }
  return behaviours;
}

std::vector<BackendBehaviour> MakeBehaviours() {
  if (!FLAGS_settings.empty()) return ReadSettings();
  std::vector<BackendBehaviour> behaviours;
  for (int index = 0; index < FLAGS_servers; ++index) {
    BackendBehaviour behaviour;
    behaviour.id = "server-" + std::to_string(index);
    behaviour.seed = static_cast<std::uint64_t>(index) + 1;
    behaviour.port = static_cast<std::uint16_t>(
        FLAGS_first_port == 0 ? 0 : FLAGS_first_port + index);
    behaviours.push_back(behaviour);
  }
  return behaviours;
}

}  // namespace

int main(int argc, char** argv) {
  using banyanknot::state::IsOk;
  using PortResult =
      banyanknot::state::Result<std::uint16_t,
                                banyanknot::transport::TransportError>;
  gflags::SetUsageMessage("Stands in for backend servers in tests and demos.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::vector<BackendBehaviour> behaviours = MakeBehaviours();
  if (behaviours.empty()) return 2;
  banyanknot::transport::SteadyClock clock;
  banyanknot::transport::IoThreads threads(
      static_cast<std::size_t>(FLAGS_threads));
  banyanknot::transport::AsioTimerService timers(threads.Context());
  banyanknot::standins::BackendFleet fleet(threads.Context(), clock, timers);
  banyanknot::standins::BackendAdmin admin(fleet);
  banyanknot::transport::HttpServer admin_server(threads.Context(), admin, {});
  const PortResult admin_port = admin_server.Listen(
      {FLAGS_address, static_cast<std::uint16_t>(FLAGS_admin_port)});
  if (!IsOk(admin_port)) return 1;
  std::printf("{\"admin_port\":%u}\n", banyanknot::state::ValueOf(admin_port));
  for (const BackendBehaviour& behaviour : behaviours) {
    const PortResult port = fleet.Add(FLAGS_address, behaviour);
    if (!IsOk(port)) return 1;
    std::printf("{\"id\":\"%s\",\"port\":%u}\n", behaviour.id.c_str(),
                banyanknot::state::ValueOf(port));
  }
  std::printf("{\"started\":true}\n");
  std::fflush(stdout);
  std::promise<void>().get_future().wait();
}
