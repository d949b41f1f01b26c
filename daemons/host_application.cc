#include "host_application.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <future>
#include <iostream>
#include <utility>

#include "action_parts.h"
#include "banyanknot/Coordination"
#include "banyanknot/Protocol"
#include "banyanknot/Transport"
#include "draw_seed.h"
#include "failure_logger.h"
#include "fleet_parts.h"
#include "host_policies.h"
#include "host_service.h"
#include "late_bound_readiness.h"
#include "process_stop_target.h"
#include "server_parts.h"

namespace banyanknot::daemons {
namespace {

constexpr state::Duration kConnectionSharesInterval =
    state::Milliseconds(1'000);
constexpr std::size_t kMaxAuditEvents = 4096;
/// Exceeds the takeover delay of cold slots plus the slow start of a server.
constexpr state::Duration kWarmReplicaTimeout = state::Milliseconds(8'000);

transport::BoostEventLog::LineEncoder LineEncoderFor(LogFormat format) {
  return format == LogFormat::kJson ? protocol::EncodeJsonLogLine
                                    : protocol::EncodeTextLogLine;
}

state::HostIdentity MakeIdentity(const HostSettings& settings,
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

transport::PeerLinkLimits MakePeerLinkLimits(const HostSettings& settings) {
  transport::PeerLinkLimits limits;
  limits.connect_from = settings.connect_from;
  return limits;
}

}  // namespace

struct HostApplication::Parts {
  void ApplySharesPeriodically() {
    this->server_parts.fleet_shares.Refresh();
    this->pools.ApplyShares();
    this->timers.RunAt(this->clock.Now() + kConnectionSharesInterval,
                       [this] { this->ApplySharesPeriodically(); });
  }

  /// The naive policies don't track cold replicas and don't wait
  /// for warm ones.
  const coordination::Readiness& SelectReadiness() const {
    if (this->settings.policies == PolicySet::kNaive) {
      return this->fleet.readiness;
    }
    return this->warm_readiness;
  }

  explicit Parts(const HostSettings& settings)
      : settings(settings),
        identity(MakeIdentity(settings, wall_clock)),
        origin(DrawSeed()),
        log(wall_clock, settings.log_severity,
            LineEncoderFor(settings.log_format), std::clog),
        audit(kMaxAuditEvents, wall_clock, log),
        threads(settings.threads, MakeFailureLogger(log)),
        timers(threads.Context()),
        random(origin),
        peer_link(threads.Context(), identity, peer_router,
                  MakePeerLinkLimits(settings)),
        platform(threads.Context(), clock, settings.platform,
                 settings.connect_from),
        updater(catalogue, codec, audit),
        fleet(settings.policies, clock, timers, random, identity,
              settings.seed_peers, peer_link, platform, platform, catalogue,
              hosts, updater, audit),
        server_parts(settings.policies, clock, timers, random, catalogue,
                     servers, fleet.view, fleet.pause_detector, audit,
                     fleet.update_channel, peer_link),
        pools(threads.Context(), clock, server_parts.Shares(),
              server_parts.fleet_gate,
              settings.policies == PolicySet::kNaive
                  ? transport::ConnectionChecks::kNone
                  : transport::ConnectionChecks::kSilent,
              settings.connect_from),
        backend_client(clock, pools),
        health_client(clock, pools),
        prober(clock, timers, random, health_client, servers,
               server_parts.roster, settings.id, server_parts.rules,
               server_parts.journal, coordination::ServerProbeOptions()),
        slow_start_prober(DrawSeed(), clock, timers, catalogue, servers,
                          server_parts.fleet_gate, backend_client,
                          coordination::SlowStartProbeOptions()),
        warm_readiness(clock, fleet.readiness, catalogue, servers, log,
                       kWarmReplicaTimeout),
        policies(settings.policies, clock, random, catalogue, servers,
                 server_parts.Gate()),
        executor(origin, clock, timers, backend_client, catalogue,
                 policies.ForQueries(), counters),
        actions(identity, DrawSeed(), clock, timers, random, backend_client,
                catalogue, hosts, policies.ForQueries().selector,
                server_parts.Gate(), peer_link),
        operator_service(identity, clock, catalogue, hosts, servers, executor,
                         readiness, audit,
                         {&query_metrics, &actions.metrics, &peer_link}),
        host_service(clock, executor, query_metrics, operator_service,
                     actions.service),
        http_server(threads.Context(), host_service,
                    {protocol::kMaxCallerRequestBytes}),
        stop_target(fleet.membership, executor, actions.executor, http_server),
        stop_sequence(settings.id, clock, timers, catalogue, SelectReadiness(),
                      stop_target, audit) {
    for (coordination::PeerHandler* handler : this->fleet.Handlers()) {
      this->peer_router.Add(handler);
    }
    this->peer_router.Add(&this->actions.forwarder);
    this->readiness.Set(this->stop_sequence);
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
  coordination::CatalogueUpdater updater;
  FleetParts fleet;
  ServerParts server_parts;
  transport::BackendPools pools;
  transport::BackendHttpClient backend_client;
  transport::BackendHealthHttpClient health_client;
  coordination::ServerProber prober;
  coordination::SlowStartProber slow_start_prober;
  coordination::WarmReplicaReadiness warm_readiness;
  state::QueryCounters counters;
  HostPolicies policies;
  coordination::QueryExecutor executor;
  coordination::QueryMetrics query_metrics;
  ActionParts actions;
  LateBoundReadiness readiness;
  OperatorService operator_service;
  HostService host_service;
  transport::HttpServer http_server;
  ProcessStopTarget stop_target;
  coordination::StopSequence stop_sequence;
};

HostApplication::HostApplication(const HostSettings& settings)
    : parts(std::make_unique<Parts>(settings)) {}

HostApplication::~HostApplication() { this->parts->threads.Stop(); }

bool HostApplication::Listen() {
  const state::Result<std::uint16_t, transport::TransportError> peer_port =
      this->parts->peer_link.Listen(this->parts->settings.peer_listen);
  if (!state::IsOk(peer_port)) {
    this->LogListenFailure(this->parts->settings.peer_listen,
                           std::string(NameOf(state::ErrorOf(peer_port))));
    return false;
  }
  const state::Result<std::uint16_t, transport::TransportError> port =
      this->parts->http_server.Listen(this->parts->settings.caller_listen);
  if (!state::IsOk(port)) {
    this->LogListenFailure(this->parts->settings.caller_listen,
                           std::string(NameOf(state::ErrorOf(port))));
    return false;
  }
  this->parts->log.Write(
      coordination::EventCode::kHostListening,
      {{"caller_port", std::to_string(state::ValueOf(port))},
       {"peer_port", std::to_string(state::ValueOf(peer_port))}});
  std::printf("{\"caller_port\":%u}\n", state::ValueOf(port));
  std::fflush(stdout);
  return true;
}

void HostApplication::LogListenFailure(const state::Endpoint& endpoint,
                                       const std::string& error) {
  this->parts->log.Write(coordination::EventCode::kListenFailed,
                         {{"address", ToText(endpoint)}, {"error", error}});
}

int HostApplication::RunUntilStopped() {
  std::promise<std::pair<coordination::StopPhase, std::size_t>> stopped;
  this->parts->stop_target.SetStoppedHandler(
      [&stopped](coordination::StopPhase phase, std::size_t remaining) {
        stopped.set_value({phase, remaining});
      });
  boost::asio::signal_set stop_signals(this->parts->threads.Context(), SIGTERM,
                                       SIGINT);
  stop_signals.async_wait(
      [this, &stop_signals](const boost::system::error_code& error,
                            int /*number*/) {
        if (error) return;
        this->parts->log.Write(coordination::EventCode::kHostStopping, {});
        this->parts->stop_sequence.Begin();
        stop_signals.async_wait(
            [this](const boost::system::error_code& second_error,
                   int /*second_number*/) {
              if (!second_error) this->parts->stop_sequence.Abort();
            });
      });
  const std::pair<coordination::StopPhase, std::size_t> result =
      stopped.get_future().get();
  if (result.first == coordination::StopPhase::kForced) {
    this->parts->log.Write(coordination::EventCode::kHostStopForced,
                           {{"left", std::to_string(result.second)}});
    return 1;
  }
  this->parts->log.Write(coordination::EventCode::kHostStopped, {});
  return 0;
}

int HostApplication::Run() {
  this->parts->log.Write(
      coordination::EventCode::kHostStarting,
      {{"host", this->parts->settings.id.Text()},
       {"domain", this->parts->settings.domain.Text()},
       {"version", BANYANKNOT_VERSION},
       {"policies", std::string(NameOf(this->parts->settings.policies))}});
  if (!this->Listen()) return 1;
  this->parts->fleet.Start();
  this->parts->actions.executor.Start();
  this->parts->server_parts.Start();
  this->parts->ApplySharesPeriodically();
  if (this->parts->settings.policies == PolicySet::kFull) {
    this->parts->prober.Start();
    this->parts->slow_start_prober.Start();
  }
  const int status = this->RunUntilStopped();
  this->parts->peer_link.Shutdown();
  return status;
}

}  // namespace banyanknot::daemons
