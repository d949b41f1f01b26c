#include "fleet_measures.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <limits>
#include <optional>

#include "trial.h"

namespace banyanknot::measure {
namespace {

constexpr std::uint64_t kRate = 80;
constexpr state::Duration kSteady = state::Milliseconds(3'000);
constexpr state::Duration kWatched = state::Milliseconds(8'000);
constexpr state::Duration kPoll = state::Milliseconds(20);
constexpr state::Duration kStopBound = state::Milliseconds(20'000);
constexpr double kLeastWhole = 0.99;
constexpr double kMsPerSecond = 1'000;
const char* const kServer = "plans-0-0";

using SteadyTime = std::chrono::steady_clock::time_point;

double SecondsSince(SteadyTime start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

standins::PlanShape FleetShape() {
  standins::PlanShape shape;
  shape.program_folder = ProgramFolder();
  shape.hosts_per_domain = 3;
  shape.services.front().query_weight = 4;
  shape.services.front().action_weight = 1;
  return shape;
}

/// Watches a counter for a while: how long after the start it last grew.
double SecondsUntilLastGrowth(const std::function<std::uint64_t()>& counter) {
  const SteadyTime start = std::chrono::steady_clock::now();
  std::uint64_t seen = counter();
  double last = 0;
  while (std::chrono::steady_clock::now() - start < kWatched) {
    Wait(kPoll);
    const std::uint64_t now = counter();
    if (now != seen) last = SecondsSince(start);
    seen = now;
  }
  return last;
}

nlohmann::json Details(const TrialResult& result) {
  nlohmann::json details = result.report.ToJson(result.report.sub_requests);
  details.erase("extra_load");
  details["answered_share"] = result.report.AnsweredShare();
  details["outcomes"] = result.report.outcomes;
  details["complaint"] = result.report.first_complaint;
  return details;
}

bool IsTrue(const TrialResult& result) {
  return result.report.Count(standins::Verdict::kWrong) == 0 &&
         result.report.doubled == 0;
}

/// The oldest revision of the fleet policy that any host has in force.
std::uint64_t LowestRevision(Trial& running) {
  std::uint64_t lowest = std::numeric_limits<std::uint64_t>::max();
  for (const standins::DeployedHost& host : running.Fleet().Hosts()) {
    const nlohmann::json status =
        running.Fleet()
            .Client()
            .CallForJson(host.caller, "GET", "/status", "")
            .value_or(nlohmann::json::object());
    std::uint64_t revision = 0;
    for (const nlohmann::json& entry :
         status.value("catalogue", nlohmann::json::array())) {
      if (entry["key"] != "fleet") continue;
      revision = entry["revision"].get<std::uint64_t>();
    }
    lowest = std::min(lowest, revision);
  }
  return lowest;
}

/// Reads a second at a platform, steadily.
struct ReadRate {
  double reads_per_second = 0;
  std::string error;
};

std::uint64_t CountReads(Trial& running) {
  return running.Fleet()
      .Client()
      .CallForJson(running.Fleet().Platform(), "GET", "/admin/counters", "")
      .value_or(nlohmann::json::object())
      .value("reads", std::uint64_t{0});
}

ReadRate MeasureReads(std::uint64_t hosts_per_domain) {
  constexpr std::uint64_t kLowRate = 10;
  constexpr state::Duration kCounted = state::Milliseconds(22'000);
  standins::PlanShape shape = FleetShape();
  shape.hosts_per_domain = hosts_per_domain;
  ReadRate rate;
  rate.error =
      Trial(shape, kLowRate)
          .Run(state::Duration(0),
               [&rate](Trial& running) {
                 const std::uint64_t before = CountReads(running);
                 const SteadyTime start = std::chrono::steady_clock::now();
                 Wait(kCounted);
                 rate.reads_per_second =
                     static_cast<double>(CountReads(running) - before) /
                     SecondsSince(start);
               })
          .error;
  return rate;
}

Finding MakeFinding(const TrialResult& result, double value,
                    const std::string& unit, double bound) {
  Finding finding;
  finding.error = result.error;
  finding.value = value;
  finding.unit = unit;
  finding.bound = bound;
  finding.also_holds = IsTrue(result);
  finding.details = Details(result);
  return finding;
}

}  // namespace

Finding DomainOutMeasure::Run() {
  constexpr double kMostSeconds = 3;
  constexpr state::Duration kPause = state::Milliseconds(500);
  double seconds = 0;
  Trial trial(FleetShape(), kRate);
  const TrialResult result =
      trial.Run(kSteady + kWatched + kSteady, [&seconds](Trial& running) {
        Wait(kSteady);
        const standins::DeployedHost& paused = running.Fleet().Hosts().front();
        paused.process->Signal(SIGSTOP);
        const SteadyTime changed = std::chrono::steady_clock::now();
        running.Fleet().SetDomainState("c", "out");
        Wait(kPause);
        paused.process->Signal(SIGCONT);
        Wait(kWatched);
        const double quiet = running.SecondsSinceWorkIn("c");
        seconds = std::max(0.0, SecondsSince(changed) - quiet);
        running.Fleet().SetDomainState("c", "in");
      });
  Finding finding = MakeFinding(result, seconds, "s", kMostSeconds);
  finding.also_holds = finding.also_holds &&
                       result.by_item.front().AnsweredShare() >= kLeastWhole &&
                       MaxCounter(result.counters, "falls") == 0;
  finding.details["whole_answers_share"] =
      result.error.empty() ? result.by_item.front().AnsweredShare() : 0;
  finding.details["falls"] = MaxCounter(result.counters, "falls");
  return finding;
}

Finding ColdServerMeasure::Run() {
  const standins::PlanShape shape = FleetShape();
  const double bears = static_cast<double>(shape.services.front().cold_slots);
  const std::function<void(Trial&)> turn_cold = [](Trial& running) {
    Wait(kSteady);
    running.Fleet().ChangeBackend(kServer,
                                  {{"turn_cold", true}, {"claims_warm", true}});
  };
  const state::Duration length = kSteady + kSteady + kSteady;
  const TrialResult full = Trial(shape, kRate).Run(length, turn_cold);
  standins::PlanShape naive_shape = shape;
  naive_shape.policies = "naive";
  const TrialResult naive = Trial(naive_shape, kRate).Run(length, turn_cold);
  Finding finding = MakeFinding(
      full, static_cast<double>(MaxCounter(full.counters, "max_cold")),
      "sub-requests in progress", bears);
  finding.error += naive.error;
  finding.baseline =
      static_cast<double>(MaxCounter(naive.counters, "max_cold"));
  finding.details["max_before_first_reply"] =
      MaxCounter(full.counters, "max_cold_unannounced");
  finding.details["falls"] = MaxCounter(full.counters, "falls");
  finding.details["naive_falls"] = MaxCounter(naive.counters, "falls");
  return finding;
}

Finding LeavingServerMeasure::Run() {
  constexpr double kMostSeconds = 2;
  double seconds = 0;
  Trial trial(FleetShape(), kRate);
  const TrialResult result =
      trial.Run(kSteady + kWatched, [&seconds](Trial& running) {
        running.Fleet().ChangePlatform(
            "/admin/mode", {{"mode", "up"}, {"host_lag_ms", 30'000}});
        Wait(kSteady);
        running.Fleet().ChangeBackend(kServer, {{"draining", true}});
        seconds = SecondsUntilLastGrowth([&running] {
          return running.Fleet()
              .BackendCounters()["servers"][kServer]["received"]
              .get<std::uint64_t>();
        });
      });
  Finding finding = MakeFinding(result, seconds, "s", kMostSeconds);
  finding.also_holds =
      finding.also_holds && result.report.Count(standins::Verdict::kCut) == 0;
  return finding;
}

Finding GracefulStopMeasure::Run() {
  standins::PlanShape shape = FleetShape();
  shape.hosts_per_domain = 1;
  int clean_exits = 0;
  Trial trial(shape, kRate);
  const TrialResult result =
      trial.Run(state::Duration(0), [&clean_exits](Trial& running) {
        for (standins::DeployedHost& host : running.Fleet().Hosts()) {
          host.process->Signal(SIGTERM);
          const std::optional<int> status =
              host.process->WaitForExit(kStopBound);
          if (status == 0) ++clean_exits;
          running.Fleet().StartHost(host);
          running.Fleet().WaitForReady(host, kStopBound);
          Wait(state::Milliseconds(1'000));
        }
      });
  Finding finding = MakeFinding(
      result,
      static_cast<double>(result.report.Count(standins::Verdict::kCut) +
                          result.report.doubled),
      "requests cut or doubled", 0);
  finding.also_holds = finding.also_holds &&
                       clean_exits == static_cast<int>(shape.domains.size());
  finding.details["clean_exits"] = clean_exits;
  return finding;
}

Finding SilentConnectionMeasure::Run() {
  constexpr double kMostSeconds = 3;
  constexpr state::Duration kSlice = state::Milliseconds(500);
  constexpr int kSlices = 20;
  standins::PlanShape shape = FleetShape();
  shape.use_proxy = true;
  double seconds = 0;
  std::size_t silenced = 0;
  Trial trial(shape, kRate);
  const TrialResult result =
      trial.Run(kSteady, [&seconds, &silenced](Trial& running) {
        Wait(kSteady);
        const SteadyTime start = std::chrono::steady_clock::now();
        silenced = running.Fleet().Proxy().BlackholeOpen("*", 0.5);
        standins::LoadReport before = running.Load().ReportByItem().front();
        for (int slice = 0; slice < kSlices; ++slice) {
          Wait(kSlice);
          const standins::LoadReport now =
              running.Load().ReportByItem().front();
          const double ended = static_cast<double>(now.latencies_ms.size() -
                                                   before.latencies_ms.size());
          const double bad =
              static_cast<double>(now.Count(standins::Verdict::kUnknown) -
                                  before.Count(standins::Verdict::kUnknown));
          if (ended < kLeastWhole * (ended + bad)) {
            seconds = SecondsSince(start);
          }
          before = now;
        }
      });
  Finding finding = MakeFinding(result, seconds, "s", kMostSeconds);
  finding.also_holds = finding.also_holds && silenced > 0;
  finding.details["silenced"] = silenced;
  return finding;
}

Finding ConfigReadsMeasure::Run() {
  constexpr double kMostReads = 100;
  constexpr double kFleetHosts = 570;
  constexpr double kSmall = 3;
  constexpr double kLarge = 15;
  const ReadRate few = MeasureReads(1);
  const ReadRate large = MeasureReads(5);
  const double slope =
      (large.reads_per_second - few.reads_per_second) / (kLarge - kSmall);
  Finding finding;
  finding.error = few.error + large.error;
  finding.value = large.reads_per_second + slope * (kFleetHosts - kLarge);
  finding.unit = "reads a second at 570 hosts";
  finding.bound = kMostReads;
  finding.details = {{"reads_at_3_hosts", few.reads_per_second},
                     {"reads_at_15_hosts", large.reads_per_second},
                     {"slope_a_host", slope}};
  return finding;
}

Finding ConfigSpreadMeasure::Run() {
  constexpr double kMostSeconds = 2;
  constexpr int kChanges = 100;
  std::vector<double> delays_ms;
  bool is_everywhere = true;
  Trial trial(FleetShape(), 10);
  const TrialResult result = trial.Run(
      state::Duration(0), [&delays_ms, &is_everywhere](Trial& running) {
        for (int change = 0; change < kChanges && is_everywhere; ++change) {
          const std::string owner = "tests-" + std::to_string(change);
          const std::uint64_t revision =
              running.Fleet().Publish("fleet", {{"owner", owner}});
          const SteadyTime start = std::chrono::steady_clock::now();
          while (is_everywhere && LowestRevision(running) < revision) {
            is_everywhere = SecondsSince(start) < 2 * kMostSeconds;
            Wait(state::Milliseconds(2));
          }
          delays_ms.push_back(SecondsSince(start) * kMsPerSecond);
        }
      });
  Finding finding =
      MakeFinding(result, standins::QuantileOf(delays_ms, 1.0) / kMsPerSecond,
                  "s", kMostSeconds);
  finding.also_holds = is_everywhere;
  finding.details = {{"changes", delays_ms.size()},
                     {"p50_ms", standins::QuantileOf(delays_ms, 0.5)}};
  return finding;
}

}  // namespace banyanknot::measure
