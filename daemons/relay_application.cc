#include "relay_application.h"

#include <sys/resource.h>
#include <sys/stat.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <future>
#include <iostream>
#include <utility>
#include <vector>

#include "banyanknot/Coordination"
#include "banyanknot/Protocol"
#include "banyanknot/Transport"
#include "crowd_watch.h"
#include "draw_seed.h"
#include "failure_logger.h"
#include "late_bound_readiness.h"
#include "relay_front_service.h"
#include "relay_host_metrics.h"
#include "relay_peer_service.h"
#include "relay_status_service.h"
#include "relay_stop_target.h"

namespace banyanknot::daemons {
namespace {

constexpr std::size_t kMaxAuditEvents = 64;
/// Quantile of a route's reply times after which a request is hedged: one in
/// twelve requests, half of what the extra-request budget allows.
constexpr double kHedgeQuantile = 0.92;
/// A caller's header at the limit that operators set, and this product's own.
constexpr std::size_t kMaxPeerHeaderBytes = 64u << 10;
constexpr std::size_t kMaxPeerBodyBytes = 4u << 20;
/// Requests to the listeners for operators have no body.
constexpr std::size_t kMaxStatusBodyBytes = 1u << 10;
/// Time to read a body, added to the configured header timeout.
constexpr state::Duration kBodyReadTimeout = state::Milliseconds(10'000);
/// Share of the memory limit for replies that are still being received: 1/n.
constexpr std::size_t kReceiveBudgetDivisor = 4;
/// Share of the memory limit for what callers make this process hold: 1/n.
constexpr std::size_t kCallerMemoryDivisor = 4;
/// The same for other hosts, which a crowd of callers must not shut out.
constexpr std::size_t kHostMemoryDivisor = 8;
/// Interval of the check for a changed settings file.
constexpr state::Duration kSettingsPollInterval = state::Milliseconds(5'000);

transport::HttpServerLimits MakeHttpServerLimits(
    const state::CallerLimits& limits, std::size_t max_connections) {
  transport::HttpServerLimits converted;
  converted.max_header_bytes = limits.max_header_bytes;
  converted.max_body_bytes = limits.max_body_bytes;
  converted.idle_timeout = limits.idle_timeout;
  converted.read_timeout = limits.header_timeout + kBodyReadTimeout;
  converted.max_connections = max_connections;
  converted.displaces_waiting = true;
  return converted;
}

state::CatalogueRecord MakeFleetPolicyRecord(const RelaySettings& settings) {
  state::FleetPolicy policy;
  policy.leave_grace = settings.leave_grace;
  policy.stop_timeout = settings.stop_timeout;
  state::CatalogueRecord record;
  record.key = "fleet";
  record.revision = 1;
  record.content = std::make_shared<const state::CatalogueContent>(policy);
  return record;
}

coordination::ExtraRequestLimits MakeExtraRequestLimits(
    const RelaySettings& settings) {
  coordination::ExtraRequestLimits limits;
  limits.share = settings.extra_request_share;
  return limits;
}

std::unique_ptr<const coordination::ServerChoice> MakeServerChoice(
    coordination::ServerChoiceKind kind, coordination::RandomSource& random) {
  switch (kind) {
    case coordination::ServerChoiceKind::kLeastCost:
      break;
    case coordination::ServerChoiceKind::kTwoChoices:
      return std::make_unique<const coordination::TwoRandomChoices>(random);
  }
  return std::make_unique<const coordination::LeastCostChoice>();
}

state::HostAdvert MakeAdvert(const RelaySettings& settings) {
  state::HostAdvert advert;
  advert.id = settings.id;
  advert.domain = settings.domain;
  advert.endpoint = settings.peer_listen.value_or(state::Endpoint());
  advert.cores = settings.cores;
  return advert;
}

transport::HttpServerLimits MakeStatusServerLimits(
    std::size_t max_connections) {
  transport::HttpServerLimits limits;
  limits.max_connections = max_connections;
  limits.displaces_waiting = true;
  limits.max_body_bytes = kMaxStatusBodyBytes;
  return limits;
}

/// Returns the number of file descriptors that this process may have open.
std::size_t MaxDescriptors(const RelaySettings& settings) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return settings.max_descriptors;
  return static_cast<std::size_t>(
      std::min<rlim_t>(limit.rlim_cur, settings.max_descriptors));
}

transport::HttpServerLimits MakePeerServerLimits(std::size_t max_connections) {
  transport::HttpServerLimits limits;
  limits.max_connections = max_connections;
  limits.displaces_waiting = true;
  limits.max_header_bytes = kMaxPeerHeaderBytes;
  limits.max_body_bytes = kMaxPeerBodyBytes;
  return limits;
}

/// Returns the modification time, or 0 if the file can't be read.
std::int64_t ModifiedAtNs(const std::string& file) {
  struct stat status {};
  if (stat(file.c_str(), &status) != 0) return 0;
  return static_cast<std::int64_t>(status.st_mtim.tv_sec) * 1'000'000'000 +
         status.st_mtim.tv_nsec;
}

}  // namespace

struct RelayApplication::Parts {
  Parts(const RelaySettings& settings, std::string settings_file,
        const protocol::RelayCodec& codec, const RoutingSourceFactory& sources)
      : settings(settings),
        settings_file(std::move(settings_file)),
        log(wall_clock, settings.log_severity, protocol::EncodeJsonLogLine,
            std::cout),
        audit(kMaxAuditEvents, wall_clock, log),
        threads(settings.threads, MakeFailureLogger(log)),
        timers(threads.Context()),
        random(DrawSeed()),
        server_choice(MakeServerChoice(settings.server_choice, random)),
        servers(clock, settings.domain, *server_choice),
        descriptors(coordination::ShareDescriptors(MaxDescriptors(settings))),
        caller_memory(std::make_shared<coordination::MemoryAccount>(
            clock, give_way,
            settings.memory_limit_bytes / kCallerMemoryDivisor)),
        host_memory(std::make_shared<coordination::MemoryAccount>(
            clock, give_way, settings.memory_limit_bytes / kHostMemoryDivisor)),
        receive_budget(std::make_shared<transport::ReceiveBudget>(
            settings.memory_limit_bytes / kReceiveBudgetDivisor)),
        relay_client(threads.Context(), clock, codec, receive_budget, log),
        health_checker(clock, timers, relay_client, routes, log),
        extra_request_budget(MakeExtraRequestLimits(settings)),
        hedge_delay(kHedgeQuantile),
        retry_after(random),
        journal(log),
        executor(clock, timers, relay_client, routes,
                 {servers, extra_request_budget, hedge_delay, capacity_queue,
                  retry_after, answer_delay},
                 capacity_queue, health_checker, journal),
        intake(clock, timers, relay_client, routes, servers, health_checker,
               log),
        source(sources.Make(threads.Context(), clock, settings.source)),
        roster(MakeAdvert(settings)),
        host_link(threads.Context(), clock, codec, receive_budget),
        shared_source(clock, *source, host_link, roster, sources.Decoder(),
                      change_history, log),
        source_follower(clock, timers, random, shared_source, intake, log,
                        settings.source_contact_timeout),
        reachability(clock, routes, servers, log),
        advert_exchange(clock, timers, random, host_link, roster, readiness,
                        settings.seeds),
        quota_accountant(
            clock, routes,
            settings.quota_rules.value_or(coordination::QuotaRules()),
            settings.id, host_link, roster),
        fleet_quota_gate(clock, timers, routes, settings.id, host_link, roster,
                         quota_accountant, log),
        dispatcher(clock, timers, host_link, roster, routes, executor, log),
        peer_service(clock, codec, readiness, routes, roster, change_history,
                     timers, executor, quota_accountant),
        peer_server(threads.Context(), peer_service,
                    MakePeerServerLimits(descriptors.hosts), host_memory),
        workspace_guard(
            clock, routes, source_follower,
            {settings.source_contact_timeout, settings.key_lifetime},
            QuotaGateOf(settings), dispatcher, journal),
        front_service(clock, codec, readiness, workspace_guard),
        caller_server(threads.Context(), front_service,
                      MakeHttpServerLimits({}, descriptors.callers),
                      caller_memory),
        host_metrics(log, readiness, routes, servers, executor, threads,
                     *receive_budget, *caller_memory, caller_server),
        crowd_watch(log, *caller_memory, caller_server),
        status_service(codec.ReadyPath(), readiness,
                       {&journal, &dispatcher, &shared_source, &source_follower,
                        &relay_client, &host_metrics, &quota_accountant}),
        ready_server(threads.Context(), status_service,
                     MakeStatusServerLimits(descriptors.status)),
        metrics_server(threads.Context(), status_service,
                       MakeStatusServerLimits(descriptors.status)),
        stop_target(dispatcher, executor, caller_server, peer_server),
        stop_sequence(settings.id, clock, timers, policy_table, reachability,
                      stop_target, audit) {
    this->policy_table.Put(MakeFleetPolicyRecord(settings));
    this->readiness.Set(this->stop_sequence);
    this->intake.SetRoutesListener([this](const state::RouteTable& table) {
      this->caller_server.SetLimits(
          MakeHttpServerLimits(table.Limits(), this->descriptors.callers));
      if (this->has_routes.exchange(true)) return;
      this->log.Write(coordination::EventCode::kHostReady,
                      {{"version", std::to_string(table.Version())}});
    });
  }

  coordination::QuotaGate& QuotaGateOf(const RelaySettings& of) {
    if (of.quota_rules) return this->fleet_quota_gate;
    return this->open_quota_gate;
  }

  transport::SteadyClock clock;
  transport::SystemWallClock wall_clock;
  const RelaySettings settings;
  const std::string settings_file;
  std::int64_t settings_modified_at_ns = 0;
  std::atomic<bool> has_routes{false};
  transport::BoostEventLog log;
  coordination::AuditTrail audit;
  state::CatalogueTable policy_table;  ///< holds the shutdown timeouts
  transport::IoThreads threads;
  transport::AsioTimerService timers;
  coordination::SeededRandomSource random;
  coordination::RouteDirectory routes;
  const std::unique_ptr<const coordination::ServerChoice> server_choice;
  coordination::ServerDirectory servers;
  const coordination::DescriptorShares descriptors;
  coordination::StalledFirstPolicy give_way;
  const std::shared_ptr<coordination::MemoryAccount> caller_memory;
  const std::shared_ptr<coordination::MemoryAccount> host_memory;
  const std::shared_ptr<transport::ReceiveBudget> receive_budget;
  transport::RelayHttpClient relay_client;
  coordination::ServerHealthChecker health_checker;
  coordination::ExtraRequestBudget extra_request_budget;
  coordination::QuantileHedgeDelay hedge_delay;
  coordination::CapacityQueue capacity_queue;
  coordination::PacedRetryAfter retry_after;
  coordination::LearnedAnswerDelay answer_delay;
  coordination::RelayJournal journal;
  coordination::RelayExecutor executor;
  coordination::RoutingIntake intake;
  const std::unique_ptr<coordination::RoutingSource> source;
  coordination::GathererRoster roster;
  transport::HostHttpLink host_link;
  coordination::ChangeHistory change_history;
  coordination::SharedSource shared_source;
  coordination::SourceFollower source_follower;
  coordination::ReachabilityReadiness reachability;
  LateBoundReadiness readiness;
  coordination::AdvertExchange advert_exchange;
  coordination::QuotaAccountant quota_accountant;
  coordination::FleetQuotaGate fleet_quota_gate;
  coordination::OpenQuotaGate open_quota_gate;
  coordination::RelayDispatcher dispatcher;
  RelayPeerService peer_service;
  transport::HttpServer peer_server;
  coordination::WorkspaceGuard workspace_guard;
  RelayFrontService front_service;
  transport::HttpServer caller_server;
  RelayHostMetrics host_metrics;
  CrowdWatch crowd_watch;
  RelayStatusService status_service;
  transport::HttpServer ready_server;
  transport::HttpServer metrics_server;
  RelayStopTarget stop_target;
  coordination::StopSequence stop_sequence;
};

RelayApplication::RelayApplication(const RelaySettings& settings,
                                   std::string settings_file,
                                   const protocol::RelayCodec& codec,
                                   const RoutingSourceFactory& sources)
    : parts(std::make_unique<Parts>(settings, std::move(settings_file), codec,
                                    sources)) {}

RelayApplication::~RelayApplication() { this->parts->threads.Stop(); }

bool RelayApplication::Listen() {
  std::vector<std::pair<transport::HttpServer*, const state::Endpoint*>>
      listeners = {
          {&this->parts->ready_server, &this->parts->settings.ready_listen},
          {&this->parts->metrics_server, &this->parts->settings.metrics_listen},
          {&this->parts->caller_server, &this->parts->settings.caller_listen}};
  if (this->parts->settings.peer_listen) {
    listeners.emplace_back(&this->parts->peer_server,
                           &*this->parts->settings.peer_listen);
  }
  for (const std::pair<transport::HttpServer*, const state::Endpoint*>&
           listener : listeners) {
    const state::Result<std::uint16_t, transport::TransportError> port =
        listener.first->Listen(*listener.second);
    if (!state::IsOk(port)) {
      this->parts->log.Write(
          coordination::EventCode::kListenFailed,
          {{"address", ToText(*listener.second)},
           {"error", std::string(NameOf(state::ErrorOf(port)))}});
      return false;
    }
    this->parts->log.Write(coordination::EventCode::kHostListening,
                           {{"address", ToText(*listener.second)}});
  }
  return true;
}

void RelayApplication::WatchSettings() {
  const std::int64_t modified_at_ns = ModifiedAtNs(this->parts->settings_file);
  if (modified_at_ns != this->parts->settings_modified_at_ns) {
    this->ReloadSettings();
  }
  this->parts->crowd_watch.Check();
  this->parts->timers.RunAt(this->parts->clock.Now() + kSettingsPollInterval,
                            [this] { this->WatchSettings(); });
}

void RelayApplication::ReloadSettings() {
  this->parts->settings_modified_at_ns =
      ModifiedAtNs(this->parts->settings_file);
  const RelaySettingsResult settings =
      ReadRelaySettings(this->parts->settings_file);
  if (state::IsOk(settings)) {
    this->parts->log.Write(coordination::EventCode::kSettingsReloaded,
                           {{"file", this->parts->settings_file}});
    return;
  }
  for (const coordination::EntryFault& fault : state::ErrorOf(settings)) {
    this->parts->log.Write(coordination::EventCode::kSettingsRefused,
                           {{"file", this->parts->settings_file},
                            {"pointer", fault.pointer},
                            {"reason", fault.reason}});
  }
}

int RelayApplication::RunUntilStopped() {
  std::promise<std::pair<coordination::StopPhase, std::size_t>> stopped;
  this->parts->stop_target.SetStoppedHandler(
      [&stopped](coordination::StopPhase phase, std::size_t remaining) {
        stopped.set_value({phase, remaining});
      });
  boost::asio::signal_set reload_signals(this->parts->threads.Context(),
                                         SIGHUP);
  std::function<void()> wait_for_reload = [&] {
    reload_signals.async_wait(
        [&](const boost::system::error_code& error, int /*number*/) {
          if (error) return;
          this->ReloadSettings();
          wait_for_reload();
        });
  };
  wait_for_reload();
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
  const bool is_forced = result.first == coordination::StopPhase::kForced;
  this->parts->log.Write(is_forced ? coordination::EventCode::kHostStopForced
                                   : coordination::EventCode::kHostStopped,
                         {{"left", std::to_string(result.second)}});
  this->parts->threads.Stop();
  return is_forced ? 1 : 0;
}

int RelayApplication::Run() {
  this->parts->log.Write(coordination::EventCode::kHostStarting,
                         {{"host", this->parts->settings.id.Text()},
                          {"domain", this->parts->settings.domain.Text()},
                          {"source", ToText(this->parts->settings.source)},
                          {"version", BANYANKNOT_VERSION}});
  this->parts->settings_modified_at_ns =
      ModifiedAtNs(this->parts->settings_file);
  if (!this->Listen()) return 1;
  this->parts->source_follower.Start();
  if (this->parts->settings.peer_listen) this->parts->advert_exchange.Start();
  if (this->parts->settings.quota_rules) this->parts->fleet_quota_gate.Start();
  this->parts->timers.RunAt(this->parts->clock.Now() + kSettingsPollInterval,
                            [this] { this->WatchSettings(); });
  return this->RunUntilStopped();
}

}  // namespace banyanknot::daemons
