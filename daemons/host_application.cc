#include "host_application.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <future>
#include <random>

#include "banyanknot/Coordination"
#include "banyanknot/Protocol"
#include "banyanknot/Transport"
#include "host_policies.h"
#include "host_service.h"

namespace banyanknot::daemons {
namespace {

constexpr std::size_t kConnectionsPerServer = 2;

std::uint64_t DrawOrigin() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

class DiscardingAuditSink : public coordination::AuditSink {
 public:
  void Append(const coordination::AuditEvent& /*event*/) override {}
};

}  // namespace

struct HostApplication::Parts {
  explicit Parts(const HostSettings& settings)
      : settings(settings),
        origin(DrawOrigin()),
        threads(settings.threads),
        timers(threads.Context()),
        random(origin),
        platform(threads.Context(), clock, settings.platform),
        keeper(catalogue, codec, audit),
        follower(clock, timers, platform, keeper),
        backend(threads.Context(), clock, kConnectionsPerServer),
        gate(clock),
        policies(settings.policies, clock, random, catalogue, servers, gate),
        executor(origin, clock, timers, backend, catalogue,
                 policies.ForQueries(), counters),
        service(executor, follower),
        server(threads.Context(), service, {protocol::kMaxCallerRequestBytes}) {
  }

  const HostSettings settings;
  const std::uint64_t origin;
  transport::SteadyClock clock;
  state::CatalogueTable catalogue;
  protocol::CatalogueCodec codec;
  DiscardingAuditSink audit;
  transport::IoThreads threads;
  transport::AsioTimerService timers;
  coordination::SeededRandomSource random;
  transport::PlatformHttpClient platform;
  coordination::CatalogueKeeper keeper;
  coordination::CatalogueFollower follower;
  transport::BackendHttpClient backend;
  state::ServerTable servers;
  state::QueryCounters counters;
  coordination::OpenServerGate gate;
  HostPolicies policies;
  coordination::QueryExecutor executor;
  HostService service;
  transport::HttpServer server;
};

HostApplication::HostApplication(const HostSettings& settings)
    : parts(std::make_unique<Parts>(settings)) {}

HostApplication::~HostApplication() { this->parts->threads.Stop(); }

int HostApplication::Run() {
  const state::Result<std::uint16_t, transport::TransportError> port =
      this->parts->server.Listen(this->parts->settings.caller_listen);
  if (!state::IsOk(port)) {
    std::fprintf(stderr, "cannot listen for callers: %s\n",
                 std::string(NameOf(state::ErrorOf(port))).c_str());
    return 1;
  }
  std::printf("{\"caller_port\":%u}\n", state::ValueOf(port));
  std::fflush(stdout);
  this->parts->follower.Start();
  std::promise<void> stopped;
  boost::asio::signal_set signals(this->parts->threads.Context(), SIGTERM,
                                  SIGINT);
  signals.async_wait([&stopped](const boost::system::error_code& /*error*/,
                                int /*number*/) { stopped.set_value(); });
  stopped.get_future().wait();
  this->parts->server.Shutdown();
  return 0;
}

}  // namespace banyanknot::daemons
