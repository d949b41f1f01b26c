#include "platform/edge/edge_soak.h"

#include <catch2/catch.hpp>
#include <string>

namespace banyanknot::platform::edge_testing {
namespace {

/// A seed that CI runs, and the reason.
struct SoakSeed {
  std::uint64_t seed;
  const char* reason;
};

// Every seed that has failed stays here, with the cause.
constexpr SoakSeed kSeeds[] = {
    {1, "a short run of the usual faults"},
    {1005, "a stop closed a connection whose next request had just been read"},
};

TEST_CASE("Edge programs keep their guarantees under overlapping faults") {
  for (const SoakSeed& row : kSeeds) {
    EdgeSoak soak(row.seed, "");
    const SoakReport report = soak.Run(std::chrono::seconds(3));
    std::string violations_text;
    for (const std::string& violation : report.violations) {
      violations_text += violation + "\n";
    }
    INFO(row.seed << " (" << row.reason << "): " << violations_text);
    CHECK(report.violations.empty());
    CHECK(report.statuses.count(200) == 1);
  }
}

}  // namespace
}  // namespace banyanknot::platform::edge_testing
