#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <future>
#include <nlohmann/json.hpp>

#include "banyanknot/Transport"
#include "platform_service.h"

DEFINE_string(address, "127.0.0.1", "address to listen on");
DEFINE_int32(port, 0, "port to listen on; 0 takes any free port");
DEFINE_string(catalogue, "", "JSON file: an object of entry key to entry");
DEFINE_string(hosts, "", "JSON file with the host list");

namespace {

using banyanknot::standins::CatalogueStore;

void LoadCatalogue(const std::string& file, CatalogueStore& store) {
  if (file.empty()) return;
  std::ifstream stream(file);
  const nlohmann::json entries = nlohmann::json::parse(stream);
  for (const auto& [key, entry] : entries.items()) store.Put(key, entry.dump());
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Stands in for the platform in tests and demos.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  banyanknot::transport::SteadyClock clock;
  banyanknot::transport::IoThreads threads(1);
  banyanknot::transport::AsioTimerService timers(threads.Context());
  CatalogueStore store;
  LoadCatalogue(FLAGS_catalogue, store);
  banyanknot::standins::PlatformService service(clock, timers, store);
  if (!FLAGS_hosts.empty()) {
    std::ifstream stream(FLAGS_hosts);
    service.SetHosts(nlohmann::json::parse(stream).dump());
  }
  banyanknot::transport::HttpServer server(threads.Context(), service, {});
  const banyanknot::state::Result<std::uint16_t,
                                  banyanknot::transport::TransportError>
      port = server.Listen(
          {FLAGS_address, static_cast<std::uint16_t>(FLAGS_port)});
  if (!banyanknot::state::IsOk(port)) return 1;
  std::printf("{\"port\":%u}\n", banyanknot::state::ValueOf(port));
  std::fflush(stdout);
  std::promise<void>().get_future().wait();
}
