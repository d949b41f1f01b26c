#include <catch2/catch.hpp>
#include <csignal>
#include <optional>

#include "integration/loaded_deployment.h"

namespace banyanknot::integration {
namespace {

constexpr std::uint64_t kSomeAnswers = 60;
constexpr state::Duration kStopBound = state::Milliseconds(40'000);
constexpr state::Duration kReadyBound = state::Milliseconds(20'000);

void CheckTrue(const standins::LoadReport& report) {
  INFO(report.first_complaint);
  CHECK(report.Count(standins::Verdict::kWrong) == 0);
  CHECK(report.doubled == 0);
}

TEST_CASE("A host that stops under load cuts nothing") {
  LoadedDeployment run;
  REQUIRE(run.WaitForAnswers(kSomeAnswers));
  standins::DeployedHost& host = run.Fleet().Hosts().front();
  host.process->Signal(SIGTERM);
  CHECK(run.WaitForAnswers(kSomeAnswers));
  CHECK(host.process->WaitForExit(kStopBound) == std::optional<int>(0));
  CHECK(run.WaitForAnswers(kSomeAnswers));
  const standins::LoadReport report = run.Finish();
  CheckTrue(report);
  CHECK(report.Count(standins::Verdict::kCut) == 0);
}

TEST_CASE("A host that is killed doubles nothing and comes back") {
  LoadedDeployment run;
  REQUIRE(run.WaitForAnswers(kSomeAnswers));
  standins::DeployedHost& host = run.Fleet().Hosts().front();
  host.process->Signal(SIGKILL);
  REQUIRE(host.process->WaitForExit(kStopBound).has_value());
  CHECK(run.WaitForAnswers(2 * kSomeAnswers));
  REQUIRE(run.Fleet().StartHost(host));
  CHECK(run.Fleet().WaitForReady(host, kReadyBound));
  CHECK(run.WaitForAnswers(kSomeAnswers));
  CheckTrue(run.Finish());
}

TEST_CASE("A host that was paused sends nothing to a domain taken out") {
  LoadedDeployment run;
  REQUIRE(run.WaitForAnswers(kSomeAnswers));
  standins::DeployedHost& host = run.Fleet().Hosts().front();
  host.process->Signal(SIGSTOP);
  REQUIRE(run.Fleet().SetDomainState("c", "out"));
  CHECK(run.WaitForAnswers(4 * kSomeAnswers));
  const std::uint64_t received = run.CounterIn("c", "received");
  host.process->Signal(SIGCONT);
  CHECK(run.Fleet().WaitForReady(host, kReadyBound));
  CHECK(run.WaitForAnswers(2 * kSomeAnswers));
  CHECK(run.CounterIn("c", "received") == received);
  CheckTrue(run.Finish());
}

}  // namespace
}  // namespace banyanknot::integration
