#include <catch2/catch.hpp>
#include <csignal>
#include <string>
#include <vector>

#include "integration/loaded_deployment.h"

namespace banyanknot::integration {
namespace {

constexpr std::uint64_t kSomeAnswers = 60;
constexpr state::Duration kSettleBound = state::Milliseconds(10'000);

void CheckTrue(const standins::LoadReport& report) {
  INFO(report.first_complaint);
  CHECK(report.Count(standins::Verdict::kWrong) == 0);
  CHECK(report.doubled == 0);
}

TEST_CASE("Service goes on, truly, while the platform is not itself") {
  LoadedDeployment run;
  REQUIRE(run.WaitForAnswers(kSomeAnswers));
  const std::vector<std::string> modes = {"refusing", "hanging", "conflicting",
                                          "up"};
  for (const std::string& mode : modes) {
    INFO(mode);
    REQUIRE(run.Fleet().ChangePlatform("/admin/mode", {{"mode", mode}}));
    CHECK(run.WaitForAnswers(kSomeAnswers));
  }
  const standins::LoadReport report = run.Finish();
  CheckTrue(report);
  CHECK(report.Count(standins::Verdict::kCut) == 0);
}

TEST_CASE("A stale platform does not bring a failure domain back") {
  LoadedDeployment run;
  REQUIRE(run.WaitForAnswers(kSomeAnswers));
  REQUIRE(run.Fleet().SetDomainState("c", "out"));
  std::uint64_t received = run.CounterIn("c", "received");
  REQUIRE(WaitUntil(
      [&run, &received] {
        const std::uint64_t before = received;
        if (!run.WaitForAnswers(kSomeAnswers)) return false;
        received = run.CounterIn("c", "received");
        return received == before;
      },
      kSettleBound));
  REQUIRE(run.Fleet().ChangePlatform(
      "/admin/mode", {{"mode", "stale"}, {"stale_revision", 5}}));
  CHECK(run.WaitForAnswers(2 * kSomeAnswers));
  CHECK(run.CounterIn("c", "received") == received);
  CheckTrue(run.Finish());
}

TEST_CASE("A failure domain that is cut off harms no answer") {
  LoadedDeployment run;
  REQUIRE(run.WaitForAnswers(kSomeAnswers));
  for (const char* other : {"a", "b"}) {
    run.Proxy().Cut("c", other);
    run.Proxy().Cut(other, "c");
  }
  run.Proxy().Cut("c", "platform");
  CHECK(run.WaitForAnswers(2 * kSomeAnswers));
  run.Proxy().HealCuts();
  CHECK(run.WaitForAnswers(2 * kSomeAnswers));
  CheckTrue(run.Finish());
}

TEST_CASE("Half of all connections go silent and service comes back") {
  LoadedDeployment run;
  REQUIRE(run.WaitForAnswers(kSomeAnswers));
  CHECK(run.Proxy().BlackholeOpen("*", 0.5) > 0);
  CHECK(run.WaitForAnswers(4 * kSomeAnswers));
  CheckTrue(run.Finish());
}

TEST_CASE("Crossed and repeated replies reach no answer") {
  LoadedDeployment run;
  standins::RouteFaults faults;
  faults.cross_every = 7;
  REQUIRE(run.Proxy().SetFaults("server/*", faults) > 0);
  REQUIRE(run.Proxy().BlackholeOpen("none", 1.0) == 0);
  CHECK(run.WaitForAnswers(2 * kSomeAnswers));
  CheckTrue(run.Finish());
}

TEST_CASE("Connections that are reset in a reply double no action") {
  LoadedDeployment run;
  REQUIRE(run.WaitForAnswers(kSomeAnswers));
  standins::RouteFaults faults;
  faults.reset_after_bytes = 4'000;
  REQUIRE(run.Proxy().SetFaults("server/*", faults) > 0);
  CHECK(run.WaitForAnswers(2 * kSomeAnswers));
  CheckTrue(run.Finish());
}

}  // namespace
}  // namespace banyanknot::integration
