#include "integration/loaded_deployment.h"

#include <catch2/catch.hpp>

namespace banyanknot::integration {
namespace {

constexpr std::uint64_t kRate = 120;
constexpr state::Duration kAnswersBound = state::Milliseconds(30'000);

std::vector<state::Endpoint> StartAndList(standins::Deployment& deployment) {
  const std::string error = deployment.Start();
  INFO(error);
  REQUIRE(error.empty());
  return deployment.CallerEndpoints();
}

}  // namespace

standins::PlanShape LoadedDeployment::DefaultShape() {
  standins::PlanShape shape;
  shape.program_folder = BANYANKNOT_PROGRAM_FOLDER;
  shape.use_proxy = true;
  shape.services.front().query_weight = 3;
  shape.services.front().action_weight = 1;
  return shape;
}

LoadedDeployment::LoadedDeployment(const standins::PlanShape& shape)
    : deployment(standins::MakePlan(shape)),
      load(standins::MakeLoad(shape, kRate), StartAndList(deployment)) {
  this->load.Start();
}

bool LoadedDeployment::WaitForAnswers(std::uint64_t count) {
  const standins::LoadReport before =
      this->load.Report(nlohmann::json::object());
  const std::uint64_t wanted =
      before.latencies_ms.size() + static_cast<std::size_t>(count);
  const bool came = WaitUntil(
      [this, wanted] {
        return this->load.Report(nlohmann::json::object())
                   .latencies_ms.size() >= wanted;
      },
      kAnswersBound);
  if (!came) this->TellWhatCame(before);
  return came;
}

void LoadedDeployment::TellWhatCame(const standins::LoadReport& before) {
  const standins::LoadReport now = this->load.Report(nlohmann::json::object());
  UNSCOPED_INFO("sent " << now.queries - before.queries);
  for (const auto& [outcome, count] : now.outcomes) {
    const auto found = before.outcomes.find(outcome);
    const std::uint64_t earlier =
        found == before.outcomes.end() ? 0 : found->second;
    if (count > earlier) UNSCOPED_INFO(outcome << ": " << count - earlier);
  }
}

standins::LoadReport LoadedDeployment::Finish() {
  this->load.Stop();
  return this->load.Report(this->deployment.BackendCounters()["actions"]);
}

std::uint64_t LoadedDeployment::CounterIn(const std::string& domain,
                                          const char* counter) {
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

std::uint64_t LoadedDeployment::CounterOf(const std::string& server,
                                          const char* counter) {
  const nlohmann::json counters = this->deployment.BackendCounters();
  return counters["servers"][server].value(counter, std::uint64_t{0});
}

}  // namespace banyanknot::integration
