#include "query_measures.h"

#include "trial.h"

namespace banyanknot::measure {
namespace {

constexpr state::Duration kLength = state::Milliseconds(9'000);
constexpr std::uint64_t kRate = 40;
constexpr double kTailQuantile = 0.99;
constexpr std::uint64_t kSlowFactor = 10;

standins::PlanShape FanOutShape(std::uint64_t fan_out) {
  standins::PlanShape shape;
  shape.program_folder = ProgramFolder();
  shape.domains = {"a", "b", "c", "d"};
  standins::ServiceShape& service = shape.services.front();
  service.shards = fan_out;
  service.slots = 2;
  service.connections = 25;
  service.service_us = 4'000;
  service.deadline_ms = 2'000;
  return shape;
}

TrialResult RunWith(standins::PlanShape shape, const std::string& policies,
                    std::uint64_t rate, state::Duration length,
                    const std::function<void(Trial&)>& during) {
  shape.policies = policies;
  return Trial(shape, rate).Run(length, during);
}

double Tail(const TrialResult& result) {
  return standins::QuantileOf(result.report.latencies_ms, kTailQuantile);
}

nlohmann::json Details(const TrialResult& result) {
  return {{"queries", result.report.queries},
          {"answered_share", result.report.AnsweredShare()},
          {"outcomes", result.report.outcomes},
          {"wrong", result.report.Count(standins::Verdict::kWrong)},
          {"extra_load", result.extra_load}};
}

}  // namespace

std::string StragglerMeasure::Name() const {
  return "straggler_" + std::to_string(this->fan_out);
}

Finding StragglerMeasure::Run() {
  constexpr double kMostOfNaive = 0.4;
  constexpr double kMostExtraLoad = 0.05;
  standins::PlanShape shape = FanOutShape(this->fan_out);
  shape.services.front().straggler_share = 0.01;
  const TrialResult full = RunWith(shape, "full", kRate, kLength, nullptr);
  const TrialResult naive = RunWith(shape, "naive", kRate, kLength, nullptr);
  Finding finding;
  finding.error = full.error + naive.error;
  finding.value = Tail(full);
  finding.baseline = Tail(naive);
  finding.unit = "ms";
  finding.bound = kMostOfNaive;
  finding.bound_is_ratio = true;
  finding.also_holds = full.extra_load <= kMostExtraLoad;
  finding.details = {{"full", Details(full)}, {"naive", Details(naive)}};
  return finding;
}

Finding SlowServerMeasure::Run() {
  constexpr double kMostOfUsual = 1.3;
  constexpr std::uint64_t kFanOut = 20;
  const standins::PlanShape shape = FanOutShape(kFanOut);
  const std::function<void(Trial&)> slow_down = [](Trial& trial) {
    trial.Fleet().ChangeBackend("plans-0-0", {{"slow_factor", kSlowFactor}});
  };
  const TrialResult usual = RunWith(shape, "full", kRate, kLength, nullptr);
  const TrialResult slow = RunWith(shape, "full", kRate, kLength, slow_down);
  const TrialResult naive = RunWith(shape, "naive", kRate, kLength, slow_down);
  Finding finding;
  finding.error = usual.error + slow.error + naive.error;
  finding.value = Tail(slow);
  finding.baseline = Tail(usual);
  finding.unit = "ms";
  finding.bound = kMostOfUsual;
  finding.bound_is_ratio = true;
  finding.details = {{"slow", Details(slow)}, {"naive_slow_ms", Tail(naive)}};
  return finding;
}

Finding OverloadMeasure::Run() {
  constexpr double kLeastGoodput = 0.95;
  constexpr double kRefusedWithin = 0.1;  // of the deadline
  constexpr std::uint64_t kOverloadRate = 800;
  standins::PlanShape shape;
  shape.program_folder = ProgramFolder();
  standins::ServiceShape service;
  service.shards = 4;
  service.slots = 2;
  service.service_us = 10'000;  // 4 shards of 2 replicas: 400 queries a second
  service.deadline_ms = 500;
  shape.services = {service, service};
  shape.services[0].name = "alerts";
  shape.services[0].query_weight = 1;
  shape.services[1].name = "comparisons";
  shape.services[1].service_class = "comparison";
  shape.services[1].coverage_floor = 0.9;
  shape.services[1].query_weight = 3;
  const TrialResult full =
      RunWith(shape, "full", kOverloadRate, kLength, nullptr);
  const TrialResult naive =
      RunWith(shape, "naive", kOverloadRate, kLength, nullptr);
  Finding finding;
  finding.error = full.error + naive.error;
  if (!finding.error.empty()) return finding;
  finding.value = full.by_item[0].AnsweredShare();
  finding.baseline = naive.by_item[0].AnsweredShare();
  finding.unit = "share of the highest class answered";
  finding.bound = kLeastGoodput;
  finding.side = BoundSide::kAtLeast;
  const double refused_ms =
      standins::QuantileOf(full.by_item[1].refusals_ms, kTailQuantile);
  finding.also_holds =
      refused_ms <= kRefusedWithin * static_cast<double>(service.deadline_ms);
  finding.details = {
      {"refused_p99_ms", refused_ms},
      {"refused", full.by_item[1].Count(standins::Verdict::kNotRun)},
      {"lower_answered_share", full.by_item[1].AnsweredShare()},
      {"full", Details(full)}};
  return finding;
}

Finding SnapshotChangeMeasure::Run() {
  constexpr double kLeastWhole = 0.99;
  constexpr std::uint64_t kFanOut = 20;
  standins::PlanShape shape = FanOutShape(kFanOut);
  shape.backend_defaults = {{"snapshot_advance_ms", 1'000},
                            {"kept_snapshots", 2}};
  const TrialResult full = RunWith(shape, "full", kRate, kLength, nullptr);
  const TrialResult naive = RunWith(shape, "naive", kRate, kLength, nullptr);
  Finding finding;
  finding.error = full.error + naive.error;
  finding.value = full.report.AnsweredShare();
  finding.baseline = naive.report.AnsweredShare();
  finding.unit = "share of whole answers";
  finding.bound = kLeastWhole;
  finding.side = BoundSide::kAtLeast;
  finding.also_holds = full.report.Count(standins::Verdict::kWrong) == 0;
  finding.details = {{"full", Details(full)}, {"naive", Details(naive)}};
  return finding;
}

}  // namespace banyanknot::measure
