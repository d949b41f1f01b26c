#include "host_application.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <future>
#include <random>

#include "action_parts.h"
#include "banyanknot/Coordination"
#include "banyanknot/Protocol"
#include "banyanknot/Transport"
#include "host_policies.h"
#include "host_service.h"
#include "server_parts.h"

namespace banyanknot::daemons {
namespace {

constexpr state::Duration kSharesInterval = state::Milliseconds(1'000);

std::uint64_t DrawOrigin() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

constexpr std::size_t kAuditCapacity = 4096;

transport::BoostEventLog::LineEncoder EncoderOf(LogFormat format) {
  return format == LogFormat::kJson ? protocol::EncodeJsonLogLine
                                    : protocol::EncodeTextLogLine;
}

/// Keeps notes of backend servers to this host.
class LocalServerNoteBoard : public coordination::ServerNoteBoard {
 public:
  void Publish(const coordination::ServerNote& /*note*/) override {}
  void Subscribe(coordination::ServerNoteListener& /*listener*/) override {}
};

state::HostIdentity IdentityOf(const HostSettings& settings,
                               const coordination::WallClock& wall_clock) {
  state::HostIdentity identity;
  identity.self.id = settings.id;
  identity.self.domain = settings.domain;
  identity.self.peer = settings.peer_listen;
  identity.self.caller = settings.caller_listen;
  identity.incarnation =
      static_cast<std::uint64_t>(wall_clock.UnixMilliseconds());
  return identity;
}

}  // namespace

struct HostApplication::Parts {
  void ApplySharesRegularly() {
    this->server_parts.fleet_shares.Refresh();
    this->pools.ApplyShares();
    this->timers.RunAt(this->clock.Now() + kSharesInterval,
                       [this] { this->ApplySharesRegularly(); });
  }

  explicit Parts(const HostSettings& settings)
      : settings(settings),
        identity(IdentityOf(settings, wall_clock)),
        origin(DrawOrigin()),
        log(wall_clock, settings.log_severity, EncoderOf(settings.log_format)),
        audit(kAuditCapacity, wall_clock, log),
        threads(settings.threads),
        timers(threads.Context()),
        random(origin),
        peer_link(threads.Context(), identity, peer_router, {}),
        platform(threads.Context(), clock, settings.platform),
        keeper(catalogue, codec, audit),
        follower(clock, timers, platform, keeper),
        view(identity, hosts),
        server_parts(settings.policies, clock, timers, random, catalogue,
                     servers, view, guard, audit, board),
        pools(threads.Context(), clock, server_parts.Shares(),
              server_parts.fleet_gate,
              settings.policies == PolicySet::kNaive
                  ? transport::ConnectionChecks::kNone
                  : transport::ConnectionChecks::kSilent),
        backend(clock, pools),
        health(clock, pools),
        prober(clock, timers, random, health, servers, server_parts.roster,
               settings.id, server_parts.rules, server_parts.journal,
               coordination::ProbeTimes()),
        policies(settings.policies, clock, random, catalogue, servers,
                 server_parts.Gate()),
        executor(origin, clock, timers, backend, catalogue,
                 policies.ForQueries(), counters),
        actions(identity, DrawOrigin(), clock, timers, random, backend,
                catalogue, hosts, policies.ForQueries().selector,
                server_parts.Gate(), peer_link),
        operators(identity, clock, catalogue, hosts, servers, executor,
                  follower, audit, {&query_metrics, &actions.metrics}),
        service(clock, executor, query_metrics, operators, actions.service),
        server(threads.Context(), service, {protocol::kMaxCallerRequestBytes}) {
  }

  transport::SteadyClock clock;
  transport::SystemWallClock wall_clock;
  const HostSettings settings;
  const state::HostIdentity identity;
  const std::uint64_t origin;
  transport::BoostEventLog log;
  coordination::AuditTrail audit;
  state::CatalogueTable catalogue;
  state::HostTable hosts;
  state::ServerTable servers;
  protocol::CatalogueCodec codec;
  transport::IoThreads threads;
  transport::AsioTimerService timers;
  coordination::SeededRandomSource random;
  coordination::PeerRouter peer_router;
  transport::PeerTcpLink peer_link;
  transport::PlatformHttpClient platform;
  coordination::CatalogueKeeper keeper;
  coordination::PollingCatalogueFollower follower;
  LocalServerNoteBoard board;
  coordination::TableMembershipView view;
  coordination::TrustingViewGuard guard;
  ServerParts server_parts;
  transport::BackendPools pools;
  transport::BackendHttpClient backend;
  transport::BackendHealthHttpClient health;
  coordination::ServerProber prober;
  state::QueryCounters counters;
  HostPolicies policies;
  coordination::QueryExecutor executor;
  coordination::QueryMetrics query_metrics;
  ActionParts actions;
  OperatorService operators;
  HostService service;
  transport::HttpServer server;
};

HostApplication::HostApplication(const HostSettings& settings)
    : parts(std::make_unique<Parts>(settings)) {}

HostApplication::~HostApplication() { this->parts->threads.Stop(); }

bool HostApplication::ListenForPeers() {
  const state::Endpoint& endpoint = this->parts->settings.peer_listen;
  const state::Result<std::uint16_t, transport::TransportError> port =
      this->parts->peer_link.Listen(endpoint);
  if (state::IsOk(port)) {
    this->parts->log.Write(
        coordination::EventCode::kHostListening,
        {{"peer_port", std::to_string(state::ValueOf(port))}});
    return true;
  }
  this->parts->log.Write(
      coordination::EventCode::kListenFailed,
      {{"address", ToText(endpoint)},
       {"error", std::string(NameOf(state::ErrorOf(port)))}});
  return false;
}

int HostApplication::Run() {
  this->parts->log.Write(
      coordination::EventCode::kHostStarting,
      {{"host", this->parts->settings.id.Text()},
       {"domain", this->parts->settings.domain.Text()},
       {"version", BANYANKNOT_VERSION},
       {"policies", std::string(NameOf(this->parts->settings.policies))}});
  this->parts->peer_router.Add(&this->parts->actions.forwarder);
  if (!this->ListenForPeers()) return 1;
  const state::Result<std::uint16_t, transport::TransportError> port =
      this->parts->server.Listen(this->parts->settings.caller_listen);
  if (!state::IsOk(port)) {
    this->parts->log.Write(
        coordination::EventCode::kListenFailed,
        {{"address", ToText(this->parts->settings.caller_listen)},
         {"error", std::string(NameOf(state::ErrorOf(port)))}});
    return 1;
  }
  this->parts->log.Write(
      coordination::EventCode::kHostListening,
      {{"caller_port", std::to_string(state::ValueOf(port))}});
  std::printf("{\"caller_port\":%u}\n", state::ValueOf(port));
  std::fflush(stdout);
  this->parts->follower.Start();
  this->parts->actions.executor.Start();
  this->parts->server_parts.Start();
  this->parts->ApplySharesRegularly();
  this->parts->prober.Start();
  std::promise<void> stopped;
  boost::asio::signal_set signals(this->parts->threads.Context(), SIGTERM,
                                  SIGINT);
  signals.async_wait([&stopped](const boost::system::error_code& /*error*/,
                                int /*number*/) { stopped.set_value(); });
  stopped.get_future().wait();
  this->parts->log.Write(coordination::EventCode::kHostStopping, {});
  this->parts->server.Shutdown();
  this->parts->peer_link.Shutdown();
  this->parts->log.Write(coordination::EventCode::kHostStopped, {});
  return 0;
}

}  // namespace banyanknot::daemons
