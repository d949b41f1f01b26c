#include <gflags/gflags.h>

#include <cstdio>
#include <future>
#include <memory>
#include <vector>

#include "backend_service.h"
#include "banyanknot/Transport"

DEFINE_string(address, "127.0.0.1", "address to listen on");
DEFINE_int32(first_port, 0, "port of the first server; 0 takes free ports");
DEFINE_int32(servers, 1, "number of backend servers in this process");

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Stands in for backend servers in tests and demos.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  banyanknot::transport::SteadyClock clock;
  banyanknot::transport::IoThreads threads(1);
  banyanknot::transport::AsioTimerService timers(threads.Context());
  std::vector<std::unique_ptr<banyanknot::standins::BackendService>> services;
  std::vector<std::unique_ptr<banyanknot::transport::HttpServer>> servers;
  for (int index = 0; index < FLAGS_servers; ++index) {
    services.push_back(std::make_unique<banyanknot::standins::BackendService>(
        clock, timers, banyanknot::standins::BackendBehaviour()));
    servers.push_back(std::make_unique<banyanknot::transport::HttpServer>(
        threads.Context(), *services.back(),
        banyanknot::transport::HttpServerLimits()));
    const int port = FLAGS_first_port == 0 ? 0 : FLAGS_first_port + index;
    const banyanknot::state::Result<std::uint16_t,
                                    banyanknot::transport::TransportError>
        listening = servers.back()->Listen(
            {FLAGS_address, static_cast<std::uint16_t>(port)});
    if (!banyanknot::state::IsOk(listening)) return 1;
    std::printf("{\"port\":%u}\n", banyanknot::state::ValueOf(listening));
  }
  std::fflush(stdout);
  std::promise<void>().get_future().wait();
}
