#include "relay_application.h"

#include <sys/stat.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <future>
#include <iostream>
#include <utility>

#include "banyanknot/Coordination"
#include "banyanknot/Protocol"
#include "banyanknot/Transport"
#include "draw_seed.h"
#include "late_readiness.h"
#include "relay_front_service.h"
#include "relay_host_metrics.h"
#include "relay_status_service.h"
#include "relay_stop_target.h"

namespace banyanknot::daemons {
namespace {

constexpr std::size_t kAuditCapacity = 64;
/// Hedges start at this quantile of a route's reply times: one in twelve
/// requests, half of what the budget allows.
constexpr double kHedgeQuantile = 0.92;
/// Callers' connections; leaves descriptors for those to servers.
constexpr std::size_t kMaxCallerConnections = 2'500;
/// Time for a body, beside the time for the header that operators set.
constexpr state::Duration kBodyTime = state::Milliseconds(10'000);
/// How often the settings file is looked at for a change without a signal.
constexpr state::Duration kSettingsInterval = state::Milliseconds(5'000);

transport::HttpServerLimits LimitsOf(const state::CallerLimits& limits) {
  transport::HttpServerLimits converted;
  converted.max_header_bytes = limits.max_header_bytes;
  converted.max_body_bytes = limits.max_body_bytes;
  converted.idle_timeout = limits.idle_timeout;
  converted.read_timeout = limits.header_timeout + kBodyTime;
  converted.max_connections = kMaxCallerConnections;
  return converted;
}

state::CatalogueRecord PolicyRecord(const RelaySettings& settings) {
  state::FleetPolicy policy;
  policy.leave_grace = settings.leave_grace;
  policy.stop_timeout = settings.stop_timeout;
  state::CatalogueRecord record;
  record.key = "fleet";
  record.revision = 1;
  record.content = std::make_shared<const state::CatalogueContent>(policy);
  return record;
}

coordination::ExtraRequestLimits ExtraLimits(const RelaySettings& settings) {
  coordination::ExtraRequestLimits limits;
  limits.share = settings.extra_request_share;
  return limits;
}

std::int64_t ChangedAt(const std::string& file) {
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
        audit(kAuditCapacity, wall_clock, log),
        threads(settings.threads),
        timers(threads.Context()),
        random(DrawSeed()),
        servers(clock, settings.domain),
        client(threads.Context(), clock, codec),
        checker(clock, timers, client, routes, log),
        budget(ExtraLimits(settings)),
        hedges(kHedgeQuantile),
        returns(random),
        journal(log),
        executor(clock, timers, client, routes,
                 {servers, budget, hedges, line, returns}, line, checker,
                 journal),
        intake(clock, timers, client, routes, servers, checker, log),
        source(sources.Make(threads.Context(), clock, settings.source)),
        follower(clock, timers, random, *source, intake, log,
                 settings.source_contact),
        reach(clock, routes, servers, log),
        front_service(clock, codec, readiness, executor),
        front(threads.Context(), front_service, LimitsOf({})),
        host_metrics(log, readiness, routes, executor),
        status_service(codec.ReadyPath(), readiness, {&journal, &host_metrics}),
        ready_server(threads.Context(), status_service, {}),
        metrics_server(threads.Context(), status_service, {}),
        stop_target(executor, front),
        stop(settings.id, clock, timers, policy, reach, stop_target, audit) {
    this->policy.Put(PolicyRecord(settings));
    this->readiness.Set(this->stop);
    this->intake.SetRoutesListener([this](const state::RouteTable& table) {
      this->front.SetLimits(LimitsOf(table.Limits()));
      if (this->has_routes.exchange(true)) return;
      this->log.Write(coordination::EventCode::kHostReady,
                      {{"version", std::to_string(table.Version())}});
    });
  }

  transport::SteadyClock clock;
  transport::SystemWallClock wall_clock;
  const RelaySettings settings;
  const std::string settings_file;
  std::int64_t settings_changed_at = 0;
  std::atomic<bool> has_routes{false};
  transport::BoostEventLog log;
  coordination::AuditTrail audit;
  state::CatalogueTable policy;  // holds the times of a stop
  transport::IoThreads threads;
  transport::AsioTimerService timers;
  coordination::SeededRandomSource random;
  coordination::RouteDirectory routes;
  coordination::ServerDirectory servers;
  transport::RelayHttpClient client;
  coordination::ServerHealthChecker checker;
  coordination::ExtraRequestBudget budget;
  coordination::QuantileHedgeDelay hedges;
  coordination::CapacityQueue line;
  coordination::PacedRetryAfter returns;
  coordination::RelayJournal journal;
  coordination::RelayExecutor executor;
  coordination::RoutingIntake intake;
  const std::unique_ptr<coordination::RoutingSource> source;
  coordination::SourceFollower follower;
  coordination::ReachabilityReadiness reach;
  LateReadiness readiness;
  RelayFrontService front_service;
  transport::HttpServer front;
  RelayHostMetrics host_metrics;
  RelayStatusService status_service;
  transport::HttpServer ready_server;
  transport::HttpServer metrics_server;
  RelayStopTarget stop_target;
  coordination::StopSequence stop;
};

RelayApplication::RelayApplication(const RelaySettings& settings,
                                   std::string settings_file,
                                   const protocol::RelayCodec& codec,
                                   const RoutingSourceFactory& sources)
    : parts(std::make_unique<Parts>(settings, std::move(settings_file), codec,
                                    sources)) {}

RelayApplication::~RelayApplication() { this->parts->threads.Stop(); }

bool RelayApplication::Listen() {
  const std::pair<transport::HttpServer*, const state::Endpoint*> listeners[] =
      {{&this->parts->ready_server, &this->parts->settings.ready_listen},
       {&this->parts->metrics_server, &this->parts->settings.metrics_listen},
       {&this->parts->front, &this->parts->settings.caller_listen}};
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
  const std::int64_t changed_at = ChangedAt(this->parts->settings_file);
  if (changed_at != this->parts->settings_changed_at) this->ReloadSettings();
  this->parts->timers.RunAt(this->parts->clock.Now() + kSettingsInterval,
                            [this] { this->WatchSettings(); });
}

void RelayApplication::ReloadSettings() {
  this->parts->settings_changed_at = ChangedAt(this->parts->settings_file);
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
  std::promise<std::pair<coordination::StopPhase, std::size_t>> ended;
  this->parts->stop_target.OnEnd(
      [&ended](coordination::StopPhase phase, std::size_t left) {
        ended.set_value({phase, left});
      });
  boost::asio::signal_set reloads(this->parts->threads.Context(), SIGHUP);
  std::function<void()> await_reload = [&] {
    reloads.async_wait(
        [&](const boost::system::error_code& error, int /*number*/) {
          if (error) return;
          this->ReloadSettings();
          await_reload();
        });
  };
  await_reload();
  boost::asio::signal_set stops(this->parts->threads.Context(), SIGTERM,
                                SIGINT);
  stops.async_wait(
      [this, &stops](const boost::system::error_code& error, int /*number*/) {
        if (error) return;
        this->parts->log.Write(coordination::EventCode::kHostStopping, {});
        this->parts->stop.Begin();
        stops.async_wait([this](const boost::system::error_code& second_error,
                                int /*second_number*/) {
          if (!second_error) this->parts->stop.Abort();
        });
      });
  const std::pair<coordination::StopPhase, std::size_t> end =
      ended.get_future().get();
  const bool is_forced = end.first == coordination::StopPhase::kForced;
  this->parts->log.Write(is_forced ? coordination::EventCode::kHostStopForced
                                   : coordination::EventCode::kHostStopped,
                         {{"left", std::to_string(end.second)}});
  this->parts->threads.Stop();
  return is_forced ? 1 : 0;
}

int RelayApplication::Run() {
  this->parts->log.Write(coordination::EventCode::kHostStarting,
                         {{"host", this->parts->settings.id.Text()},
                          {"domain", this->parts->settings.domain.Text()},
                          {"source", ToText(this->parts->settings.source)},
                          {"version", BANYANKNOT_VERSION}});
  this->parts->settings_changed_at = ChangedAt(this->parts->settings_file);
  if (!this->Listen()) return 1;
  this->parts->follower.Start();
  this->parts->timers.RunAt(this->parts->clock.Now() + kSettingsInterval,
                            [this] { this->WatchSettings(); });
  return this->RunUntilStopped();
}

}  // namespace banyanknot::daemons
