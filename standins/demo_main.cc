#include <gflags/gflags.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <string>
#include <thread>

#include "deployment.h"
#include "load_generator.h"

DEFINE_string(programs, ".", "folder of the built programs");
DEFINE_string(example, "", "folder of the deployment to run");
DEFINE_int32(seconds, 40, "how long to offer load");

namespace {

using banyanknot::standins::Deployment;
using banyanknot::standins::LoadGenerator;
using banyanknot::standins::LoadReport;
using banyanknot::standins::LoadSettings;
namespace state = banyanknot::state;

constexpr state::Duration kStopBound = state::Milliseconds(40'000);
constexpr int kSteps = 5;  ///< steady, out, back, stop, steady

void Sleep() {
  std::this_thread::sleep_for(
      std::chrono::milliseconds(std::int64_t{1'000} * FLAGS_seconds / kSteps));
}

/// Takes a failure domain out and back and stops a host, under load.
bool RunSteps(Deployment& deployment) {
  const std::string domain = deployment.Hosts().back().domain;
  Sleep();
  std::fprintf(stderr, "taking failure domain %s out\n", domain.c_str());
  if (!deployment.SetDomainState(domain, "out")) return false;
  Sleep();
  std::fprintf(stderr, "taking failure domain %s back\n", domain.c_str());
  if (!deployment.SetDomainState(domain, "in")) return false;
  Sleep();
  banyanknot::standins::DeployedHost& host = deployment.Hosts().front();
  std::fprintf(stderr, "stopping host %s\n", host.id.c_str());
  host.process->Signal(SIGTERM);
  Sleep();
  const std::optional<int> status = host.process->WaitForExit(kStopBound);
  std::fprintf(stderr, "host %s ended with status %d\n", host.id.c_str(),
               status.value_or(-1));
  Sleep();
  return status == 0;
}

int Run(const LoadSettings& settings) {
  Deployment deployment(
      banyanknot::standins::ReadPlan(FLAGS_programs, FLAGS_example));
  const std::string error = deployment.Start();
  if (!error.empty()) {
    std::fprintf(stderr, "%s\n", error.c_str());
    return 1;
  }
  const std::uint64_t started_before = deployment.StartedSubRequests();
  LoadGenerator load(settings, deployment.CallerEndpoints());
  load.Start();
  const bool went_well = RunSteps(deployment);
  load.Stop();
  const nlohmann::json counters = deployment.BackendCounters();
  const LoadReport report = load.Report(counters["actions"]);
  for (const auto& [outcome, count] : report.outcomes) {
    std::fprintf(stderr, "outcome %s: %llu\n", outcome.c_str(),
                 static_cast<unsigned long long>(count));
  }
  if (!report.first_complaint.empty()) {
    std::fprintf(stderr, "wrong: %s\n", report.first_complaint.c_str());
  }
  const std::uint64_t started =
      deployment.StartedSubRequests() - started_before;
  std::printf("%s\n", report.ToJson(started).dump().c_str());
  return went_well ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "Runs an example deployment under load, takes a failure domain out and "
      "back, stops a host, and prints one JSON line.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::ifstream stream(FLAGS_example + "/load.json");
  const state::Result<LoadSettings, banyanknot::protocol::ProtocolError> read =
      banyanknot::standins::ReadLoadSettings(
          nlohmann::json::parse(stream, nullptr, false));
  if (!state::IsOk(read)) {
    std::fprintf(stderr, "%s/load.json: %s %s\n", FLAGS_example.c_str(),
                 state::ErrorOf(read).pointer.c_str(),
                 state::ErrorOf(read).reason.c_str());
    return 2;
  }
  return Run(state::ValueOf(read));
}
