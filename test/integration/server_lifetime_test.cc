#include <catch2/catch.hpp>

#include "integration/loaded_deployment.h"

namespace banyanknot::integration {
namespace {

constexpr std::uint64_t kSomeAnswers = 60;
constexpr state::Duration kSettleBound = state::Milliseconds(20'000);
const char* const kServer = "plans-0-0";

void CheckTrue(const standins::LoadReport& report) {
  INFO(report.first_complaint);
  CHECK(report.Count(standins::Verdict::kWrong) == 0);
  CHECK(report.doubled == 0);
}

TEST_CASE("A server that turns cold unannounced gets no more than it bears") {
  LoadedDeployment run;
  REQUIRE(run.WaitForAnswers(2 * kSomeAnswers));
  REQUIRE(run.Fleet().ChangeBackend(
      kServer, {{"turn_cold", true}, {"claims_warm", true}}));
  CHECK(run.WaitForAnswers(4 * kSomeAnswers));
  CHECK(run.CounterOf(kServer, "max_cold") <= 1);
  CheckTrue(run.Finish());
}

TEST_CASE("A leaving server gets no new work although the host list lags") {
  LoadedDeployment run;
  REQUIRE(run.Fleet().ChangePlatform(
      "/admin/mode", {{"mode", "up"}, {"host_lag_ms", 30'000}}));
  REQUIRE(run.WaitForAnswers(kSomeAnswers));
  REQUIRE(run.Fleet().ChangeBackend(kServer, {{"draining", true}}));
  std::uint64_t received = run.CounterOf(kServer, "received");
  CHECK(WaitUntil(
      [&run, &received] {
        const std::uint64_t before = received;
        if (!run.WaitForAnswers(kSomeAnswers)) return false;
        received = run.CounterOf(kServer, "received");
        return received == before;
      },
      kSettleBound));
  const standins::LoadReport report = run.Finish();
  CheckTrue(report);
  CHECK(report.Count(standins::Verdict::kCut) == 0);
}

TEST_CASE("Index versions that change under load mix in no answer") {
  standins::PlanShape shape = LoadedDeployment::DefaultShape();
  shape.backend_defaults = {{"snapshot_advance_ms", 1'000},
                            {"kept_snapshots", 2}};
  LoadedDeployment run(shape);
  CHECK(run.WaitForAnswers(4 * kSomeAnswers));
  CheckTrue(run.Finish());
}

TEST_CASE("Servers that shed are refused work, not answers") {
  standins::PlanShape shape = LoadedDeployment::DefaultShape();
  shape.backend_defaults = {{"max_queue", 1}};
  shape.services.front().slots = 1;
  shape.services.front().service_us = 10'000;
  LoadedDeployment run(shape);
  CHECK(run.WaitForAnswers(2 * kSomeAnswers));
  CheckTrue(run.Finish());
}

}  // namespace
}  // namespace banyanknot::integration
