#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <future>

#include "banyanknot/Transport"
#include "proxy_admin.h"

DEFINE_string(routes, "",
              "JSON file: {\"routes\": [{\"name\", \"from\", \"to\", "
              "\"address\", \"target_port\", \"port\"}]}");
DEFINE_int32(admin_port, 0, "port for administration; 0 takes a free one");
DEFINE_int32(threads, 2, "threads that carry");
DEFINE_uint64(seed, 1, "seed of what is drawn at random");

int main(int argc, char** argv) {
  using banyanknot::state::IsOk;
  using banyanknot::state::ValueOf;
  using PortResult =
      banyanknot::state::Result<std::uint16_t,
                                banyanknot::transport::TransportError>;
  gflags::SetUsageMessage("Does to TCP connections what a bad network does.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::ifstream stream(FLAGS_routes);
  const banyanknot::standins::ProxyRoutesResult routes =
      banyanknot::standins::ReadProxyRoutes(
          nlohmann::json::parse(stream, nullptr, false));
  if (!IsOk(routes)) {
    std::fprintf(stderr, "%s:%s: %s\n", FLAGS_routes.c_str(),
                 banyanknot::state::ErrorOf(routes).pointer.c_str(),
                 banyanknot::state::ErrorOf(routes).reason.c_str());
    return 2;
  }
  banyanknot::transport::IoThreads threads(
      static_cast<std::size_t>(FLAGS_threads));
  banyanknot::standins::NoSourceLocator locator;
  banyanknot::coordination::SeededRandomSource random(FLAGS_seed);
  banyanknot::standins::FaultProxy proxy(threads.Context(), locator, random);
  banyanknot::standins::ProxyAdmin admin(proxy);
  banyanknot::transport::HttpServer server(threads.Context(), admin, {});
  const PortResult admin_port = server.Listen(
      {"127.0.0.1", static_cast<std::uint16_t>(FLAGS_admin_port)});
  if (!IsOk(admin_port)) return 1;
  std::printf("{\"admin_port\":%u}\n", ValueOf(admin_port));
  for (const banyanknot::standins::ProxyRoute& route : ValueOf(routes)) {
    const PortResult port = proxy.AddRoute(route);
    if (!IsOk(port)) return 1;
    std::printf("{\"name\":\"%s\",\"port\":%u}\n", route.name.c_str(),
                ValueOf(port));
  }
  std::printf("{\"started\":true}\n");
  std::fflush(stdout);
  std::promise<void>().get_future().wait();
}
