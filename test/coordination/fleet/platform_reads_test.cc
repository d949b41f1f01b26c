#include <catch2/catch.hpp>
#include <cstdint>
#include <vector>

#include "coordination/fleet/support/fleet_host.h"

namespace banyanknot::coordination::fleet_testing {
namespace {

constexpr std::size_t kTargetHosts = 570;
constexpr state::Duration kWindow = state::Milliseconds(240'000);
constexpr double kTargetReadsPerSecond = 100.0;

double SteadyReads(FleetFixture& fleet) {
  const std::uint64_t before = fleet.platform.reads;
  fleet.Run(kWindow);
  return static_cast<double>(fleet.platform.reads - before) / 240.0;
}

/// Returns the maximum of reads per second in the first ten seconds after an
/// outage of four minutes.
std::uint64_t PeakAfterOutage(FleetFixture& fleet) {
  fleet.platform.SetDown(true);
  fleet.Run(kWindow);
  fleet.platform.SetDown(false);
  std::uint64_t peak = 0;
  for (int second = 0; second < 10; ++second) {
    const std::uint64_t before = fleet.platform.reads;
    fleet.Run(state::Milliseconds(1'000));
    peak = std::max(peak, fleet.platform.reads - before);
  }
  return peak;
}

TEST_CASE("Reads at the platform grow slowly enough for 570 hosts") {
  std::vector<double> steady;
  std::vector<double> peaks;
  const std::vector<std::size_t> sizes{3, 6, 9, 30, 60};
  for (const std::size_t hosts : sizes) {
    FleetFixture fleet(hosts, 3, 31);
    fleet.platform.Put("domain/d0", "in");
    fleet.Start();
    fleet.Run(state::Milliseconds(60'000));
    steady.push_back(SteadyReads(fleet));
    peaks.push_back(static_cast<double>(PeakAfterOutage(fleet)));
    UNSCOPED_INFO(hosts << " hosts: " << steady.back() << " reads/s, peak "
                        << peaks.back());
  }
  const double hosts_between = static_cast<double>(sizes[4] - sizes[2]);
  const double hosts_extrapolated =
      static_cast<double>(kTargetHosts - sizes[4]);
  CHECK(steady[4] +
            (steady[4] - steady[2]) / hosts_between * hosts_extrapolated <=
        kTargetReadsPerSecond);
  CHECK(peaks[4] + (peaks[4] - peaks[2]) / hosts_between * hosts_extrapolated <=
        kTargetReadsPerSecond);
}

}  // namespace
}  // namespace banyanknot::coordination::fleet_testing
