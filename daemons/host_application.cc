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
#include "fleet_parts.h"
#include "host_policies.h"
#include "host_service.h"
#include "late_readiness.h"
#include "process_stop_target.h"
#include "server_parts.h"

namespace banyanknot::daemons {
namespace {

constexpr state::Duration kSharesInterval = state::Milliseconds(1'000);
constexpr std::size_t kAuditCapacity = 4096;
/// Longer than the takeover delay of cold slots and a ramp together.
constexpr state::Duration kWarmWait = state::Milliseconds(8'000);

transport::BoostEventLog::LineEncoder EncoderOf(LogFormat format) {
  return format == LogFormat::kJson ? protocol::EncodeJsonLogLine
                                    : protocol::EncodeTextLogLine;
}

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

transport::PeerLinkLimits PeerLimitsOf(const HostSettings& settings) {
  transport::PeerLinkLimits limits;
  limits.connect_from = settings.connect_from;
  return limits;
}

}  // namespace

struct HostApplication::Parts {
  void ApplySharesRegularly() {
    this->server_parts.fleet_shares.Refresh();
    this->pools.ApplyShares();
    this->timers.RunAt(this->clock.Now() + kSharesInterval,
                       [this] { this->ApplySharesRegularly(); });
  }

  /// The naive policies know nothing of warmth and don't wait for it.
  const coordination::Readiness& StartReadiness() const {
    if (this->settings.policies == PolicySet::kNaive) {
      return this->fleet.readiness;
    }
    return this->warm_readiness;
  }

  explicit Parts(const HostSettings& settings)
      : settings(settings),
        identity(IdentityOf(settings, wall_clock)),
        origin(DrawSeed()),
        log(wall_clock, settings.log_severity, EncoderOf(settings.log_format),
            std::clog),
        audit(kAuditCapacity, wall_clock, log),
        threads(settings.threads),
        timers(threads.Context()),
        random(origin),
        peer_link(threads.Context(), identity, peer_router,
                  PeerLimitsOf(settings)),
        platform(threads.Context(), clock, settings.platform,
                 settings.connect_from),
        keeper(catalogue, codec, audit),
        fleet(settings.policies, clock, timers, random, identity,
              settings.seed_peers, peer_link, platform, platform, catalogue,
              hosts, keeper, audit),
        server_parts(settings.policies, clock, timers, random, catalogue,
                     servers, fleet.view, fleet.guard, audit,
                     fleet.server_updates, peer_link),
        pools(threads.Context(), clock, server_parts.Shares(),
              server_parts.fleet_gate,
              settings.policies == PolicySet::kNaive
                  ? transport::ConnectionChecks::kNone
                  : transport::ConnectionChecks::kSilent,
              settings.connect_from),
        backend(clock, pools),
        health(clock, pools),
        prober(clock, timers, random, health, servers, server_parts.roster,
               settings.id, server_parts.rules, server_parts.journal,
               coordination::ServerProbeOptions()),
        slow_start_prober(DrawSeed(), clock, timers, catalogue, servers,
                          server_parts.fleet_gate, backend,
                          coordination::SlowStartProbeOptions()),
        warm_readiness(clock, fleet.readiness, catalogue, servers, log,
                       kWarmWait),
        policies(settings.policies, clock, random, catalogue, servers,
                 server_parts.Gate()),
        executor(origin, clock, timers, backend, catalogue,
                 policies.ForQueries(), counters),
        actions(identity, DrawSeed(), clock, timers, random, backend, catalogue,
                hosts, policies.ForQueries().selector, server_parts.Gate(),
                peer_link),
        operators(identity, clock, catalogue, hosts, servers, executor,
                  readiness, audit,
                  {&query_metrics, &actions.metrics, &peer_link}),
        service(clock, executor, query_metrics, operators, actions.service),
        server(threads.Context(), service, {protocol::kMaxCallerRequestBytes}),
        stop_target(fleet.membership, executor, actions.executor, server),
        stop(settings.id, clock, timers, catalogue, StartReadiness(),
             stop_target, audit) {
    for (coordination::PeerHandler* handler : this->fleet.Handlers()) {
      this->peer_router.Add(handler);
    }
    this->peer_router.Add(&this->actions.forwarder);
    this->readiness.Set(this->stop);
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
  coordination::CatalogueUpdater keeper;
  FleetParts fleet;
  ServerParts server_parts;
  transport::BackendPools pools;
  transport::BackendHttpClient backend;
  transport::BackendHealthHttpClient health;
  coordination::ServerProber prober;
  coordination::SlowStartProber slow_start_prober;
  coordination::WarmReplicaReadiness warm_readiness;
  state::QueryCounters counters;
  HostPolicies policies;
  coordination::QueryExecutor executor;
  coordination::QueryMetrics query_metrics;
  ActionParts actions;
  LateReadiness readiness;
  OperatorService operators;
  HostService service;
  transport::HttpServer server;
  ProcessStopTarget stop_target;
  coordination::StopSequence stop;
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
      this->parts->server.Listen(this->parts->settings.caller_listen);
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
  std::promise<std::pair<coordination::StopPhase, std::size_t>> ended;
  this->parts->stop_target.OnEnd(
      [&ended](coordination::StopPhase phase, std::size_t left) {
        ended.set_value({phase, left});
      });
  boost::asio::signal_set signals(this->parts->threads.Context(), SIGTERM,
                                  SIGINT);
  signals.async_wait(
      [this, &signals](const boost::system::error_code& error, int /*number*/) {
        if (error) return;
        this->parts->log.Write(coordination::EventCode::kHostStopping, {});
        this->parts->stop.Begin();
        signals.async_wait([this](const boost::system::error_code& second_error,
                                  int /*second_number*/) {
          if (!second_error) this->parts->stop.Abort();
        });
      });
  const std::pair<coordination::StopPhase, std::size_t> end =
      ended.get_future().get();
  if (end.first == coordination::StopPhase::kForced) {
    this->parts->log.Write(coordination::EventCode::kHostStopForced,
                           {{"left", std::to_string(end.second)}});
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
  this->parts->ApplySharesRegularly();
  if (this->parts->settings.policies == PolicySet::kFull) {
    this->parts->prober.Start();
    this->parts->slow_start_prober.Start();
  }
  const int status = this->RunUntilStopped();
  this->parts->peer_link.Shutdown();
  return status;
}

}  // namespace banyanknot::daemons
