#include "trial.h"

#include <algorithm>
#include <chrono>
#include <limits>
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
  this->Settle();
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

void Trial::Settle() {
  constexpr state::Duration kBound = state::Milliseconds(8'000);
  constexpr state::Duration kSlice = state::Milliseconds(500);
  const std::chrono::steady_clock::time_point end =
      std::chrono::steady_clock::now() + kBound;
  standins::LoadSettings queries = this->settings;
  queries.mix.erase(std::remove_if(queries.mix.begin(), queries.mix.end(),
                                   [](const standins::LoadItem& item) {
                                     return item.is_action;
                                   }),
                    queries.mix.end());
  bool is_settled = false;
  while (!is_settled && std::chrono::steady_clock::now() < end) {
    standins::LoadGenerator warm_up(queries,
                                    this->deployment.CallerEndpoints());
    warm_up.Start();
    Wait(kSlice);
    warm_up.Stop();
    const standins::LoadReport report =
        warm_up.Report(nlohmann::json::object());
    is_settled = report.queries > 0 &&
                 report.Count(standins::Verdict::kAnswered) == report.queries;
  }
}

double Trial::SecondsSinceWorkIn(const std::string& domain) {
  constexpr double kMsPerSecond = 1'000;
  const nlohmann::json counters = this->deployment.BackendCounters();
  double least_ms = std::numeric_limits<double>::max();
  for (const nlohmann::json& entry : this->deployment.Catalogue()) {
    if (!entry.contains("servers")) continue;
    for (const nlohmann::json& server : entry["servers"]) {
      if (server.value("domain", "") != domain) continue;
      const nlohmann::json& ago =
          counters["servers"][server.value("id", "")]["last_received_ms_ago"];
      if (ago.is_number()) least_ms = std::min(least_ms, ago.get<double>());
    }
  }
  return least_ms / kMsPerSecond;
}

std::uint64_t MaxCounter(const nlohmann::json& counters, const char* counter) {
  std::uint64_t largest = 0;
  for (const nlohmann::json& server : counters["servers"]) {
    largest = std::max(largest, server.value(counter, std::uint64_t{0}));
  }
  return largest;
}

}  // namespace banyanknot::measure
