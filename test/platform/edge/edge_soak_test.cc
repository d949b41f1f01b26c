#include "platform/edge/edge_soak.h"

#include <catch2/catch.hpp>
#include <string>

namespace banyanknot::platform::edge_testing {
namespace {

/// A seed that is played in CI, and why.
struct SoakSeed {
  std::uint64_t seed;
  const char* why;
};

// A seed that ever failed stays here, with its cause.
constexpr SoakSeed kSeeds[] = {
    {1, "a short run of the usual faults"},
    {1005, "a stop closed a connection whose next request had just been read"},
};

TEST_CASE("Edge programs keep their promises under faults that overlap") {
  for (const SoakSeed& row : kSeeds) {
    EdgeSoak soak(row.seed, "");
    const SoakReport report = soak.Run(std::chrono::seconds(3));
    std::string told;
    for (const std::string& what : report.broken) told += what + "\n";
    INFO(row.seed << " (" << row.why << "): " << told);
    CHECK(report.broken.empty());
    CHECK(report.statuses.count(200) == 1);
  }
}

}  // namespace
}  // namespace banyanknot::platform::edge_testing
