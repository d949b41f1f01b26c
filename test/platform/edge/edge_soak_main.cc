#include <gflags/gflags.h>

#include <cstdio>
#include <string>

#include "platform/edge/edge_soak.h"

DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(seeds, 1, "number of consecutive seeds");
DEFINE_string(logs, "", "folder for the logs of the edges; empty for none");
DEFINE_uint64(seconds, 5, "duration of the faults of each seed, in seconds");

namespace {

using banyanknot::platform::edge_testing::EdgeSoak;
using banyanknot::platform::edge_testing::SoakReport;

void Print(std::uint64_t seed, const SoakReport& report) {
  std::printf("seed %llu: %zu faults;", static_cast<unsigned long long>(seed),
              report.faults.size());
  for (const auto& [status, count] : report.statuses) {
    std::printf(" %u: %zu", status, count);
  }
  std::printf("; %zu violations\n", report.violations.size());
  for (const std::string& violation : report.violations) {
    std::printf("  %s\n", violation.c_str());
  }
  if (report.violations.empty()) return;
  for (const std::string& fault : report.faults) {
    std::printf(" %s", fault.c_str());
  }
  std::printf("\n");
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "Runs edge programs under faults; checks responses and executions.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  int failed_seeds = 0;
  for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds;
       ++seed) {
    EdgeSoak soak(seed, FLAGS_logs);
    const SoakReport report = soak.Run(std::chrono::seconds(FLAGS_seconds));
    Print(seed, report);
    std::fflush(stdout);
    if (!report.violations.empty()) ++failed_seeds;
  }
  std::printf("%d of %llu seeds had violations\n", failed_seeds,
              static_cast<unsigned long long>(FLAGS_seeds));
  return failed_seeds == 0 ? 0 : 1;
}
