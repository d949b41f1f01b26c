#include "trial.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace banyanknot::measure {

std::string ProgramFolder() { return BANYANKNOT_PROGRAM_FOLDER; }

void Wait(state::Duration duration) { std::this_thread::sleep_for(duration); }

Trial::Trial(const standins::PlanShape& shape, std::uint64_t rate)
    : settings(standins::MakeLoad(shape, rate)),
      deployment(standins::MakePlan(shape)) {}

TrialResult Trial::Run(state::Duration length,
                       const std::function<void(Trial&)>& during) {
  TrialResult result;
  result.error = this->deployment.Start();
  if (!result.error.empty()) return result;
  this->load = std::make_unique<standins::LoadGenerator>(
      this->settings, this->deployment.CallerEndpoints());
  const std::uint64_t before = this->deployment.StartedSubRequests();
  const std::chrono::steady_clock::time_point end =
      std::chrono::steady_clock::now() + length;
  this->load->Start();
  if (during) during(*this);
  std::this_thread::sleep_until(end);
  this->load->Stop();
  const std::uint64_t started = this->deployment.StartedSubRequests() - before;
  result.counters = this->deployment.BackendCounters();
  result.report = this->load->Report(result.counters["actions"]);
  result.by_item = this->load->ReportByItem();
  result.extra_load = result.report.ToJson(started)["extra_load"].get<double>();
  return result;
}

std::uint64_t Trial::CounterIn(const std::string& domain, const char* counter) {
  const nlohmann::json counters = this->deployment.BackendCounters();
  std::uint64_t sum = 0;
  for (const nlohmann::json& entry : this->deployment.Catalogue()) {
    if (!entry.contains("servers")) continue;
    for (const nlohmann::json& server : entry["servers"]) {
      if (server.value("domain", "") != domain) continue;
      sum += counters["servers"][server.value("id", "")].value(
          counter, std::uint64_t{0});
    }
  }
  return sum;
}

std::uint64_t MaxCounter(const nlohmann::json& counters, const char* counter) {
  std::uint64_t largest = 0;
  for (const nlohmann::json& server : counters["servers"]) {
    largest = std::max(largest, server.value(counter, std::uint64_t{0}));
  }
  return largest;
}

}  // namespace banyanknot::measure
