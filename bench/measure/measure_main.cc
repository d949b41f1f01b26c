#include <gflags/gflags.h>

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "control_cost_measure.h"
#include "fleet_measures.h"
#include "path_cost_measure.h"
#include "query_measures.h"

DEFINE_bool(list, false, "print the names of all measures and exit");

namespace {

using banyanknot::measure::Measure;

std::vector<std::unique_ptr<Measure>> MakeMeasures() {
  constexpr std::uint64_t kSmallFanOut = 20;
  constexpr std::uint64_t kLargeFanOut = 30;
  std::vector<std::unique_ptr<Measure>> measures;
  measures.push_back(
      std::make_unique<banyanknot::measure::ConfigSpreadMeasure>());
  measures.push_back(
      std::make_unique<banyanknot::measure::ConfigReadsMeasure>());
  measures.push_back(std::make_unique<banyanknot::measure::DomainOutMeasure>());
  measures.push_back(
      std::make_unique<banyanknot::measure::ColdServerMeasure>());
  measures.push_back(
      std::make_unique<banyanknot::measure::LeavingServerMeasure>());
  measures.push_back(
      std::make_unique<banyanknot::measure::GracefulStopMeasure>());
  measures.push_back(
      std::make_unique<banyanknot::measure::SilentConnectionMeasure>());
  measures.push_back(
      std::make_unique<banyanknot::measure::StragglerMeasure>(kSmallFanOut));
  measures.push_back(
      std::make_unique<banyanknot::measure::StragglerMeasure>(kLargeFanOut));
  measures.push_back(
      std::make_unique<banyanknot::measure::SlowServerMeasure>());
  measures.push_back(std::make_unique<banyanknot::measure::OverloadMeasure>());
  measures.push_back(
      std::make_unique<banyanknot::measure::SnapshotChangeMeasure>());
  measures.push_back(std::make_unique<banyanknot::measure::PathCostMeasure>());
  measures.push_back(
      std::make_unique<banyanknot::measure::ControlCostMeasure>());
  return measures;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Measures: `measure --list | NAME | all`.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const std::string wanted = argc > 1 ? argv[1] : "all";
  bool is_known = false;
  for (const std::unique_ptr<Measure>& measure : MakeMeasures()) {
    if (FLAGS_list) {
      std::printf("%s\n", measure->Name().c_str());
      is_known = true;
    } else if (wanted == "all" || wanted == measure->Name()) {
      const nlohmann::json line =
          banyanknot::measure::ToJson(measure->Name(), measure->Run());
      std::printf("%s\n", line.dump().c_str());
      std::fflush(stdout);
      is_known = true;
    }
  }
  return is_known ? 0 : 2;
}
