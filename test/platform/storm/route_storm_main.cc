#include <gflags/gflags.h>

#include <cstdio>
#include <string>

#include "platform/storm/route_storm.h"

DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(seeds, 1, "number of consecutive seeds");
DEFINE_string(logs, "", "folder for the logs of the edges; empty for none");
DEFINE_uint64(seconds, 40, "duration of the faults of each seed, in seconds");
DEFINE_bool(store_returns, false, "let the store return from older copies");

namespace {

using banyanknot::platform::edge_testing::RouteStorm;
using banyanknot::platform::edge_testing::StormReport;

void Print(std::uint64_t seed, const StormReport& report) {
  std::printf("seed %llu: %zu faults, version %llu, %zu checked;",
              static_cast<unsigned long long>(seed), report.events.size(),
              static_cast<unsigned long long>(report.versions), report.checked);
  for (const auto& [outcome, count] : report.outcomes) {
    std::printf(" %s: %zu", outcome.c_str(), count);
  }
  std::printf("; %zu violations\n", report.violations.size());
  for (const auto& [subject, violation] : report.violations) {
    std::printf("  %s: %zu until %s, first %s\n", subject.c_str(),
                violation.count, violation.last_time.c_str(),
                violation.first.c_str());
  }
  if (report.violations.empty()) return;
  for (const std::string& event : report.events) {
    std::printf("  (%s)\n", event.c_str());
  }
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "Publishes routes in bursts beside faults; checks which handle "
      "requests.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  int failed_seeds = 0;
  for (std::uint64_t seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds;
       ++seed) {
    RouteStorm storm({seed, FLAGS_logs, FLAGS_store_returns});
    const StormReport report = storm.Run(std::chrono::seconds(FLAGS_seconds));
    Print(seed, report);
    std::fflush(stdout);
    if (!report.violations.empty()) ++failed_seeds;
  }
  std::printf("%d of %llu seeds had violations\n", failed_seeds,
              static_cast<unsigned long long>(FLAGS_seeds));
  return failed_seeds == 0 ? 0 : 1;
}
