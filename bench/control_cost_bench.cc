/// \file
/// \brief What the control of one host costs by the size of the fleet.
///
/// All hosts' objects run in one process on virtual time; the fake network's
/// own work is counted in, so that the figures are upper bounds.

#include <benchmark/benchmark.h>

#include <cstdint>
#include <memory>

#include "coordination/fleet/support/fleet_host.h"

namespace banyanknot::coordination::fleet_testing {
namespace {

constexpr std::size_t kDomains = 6;
constexpr state::Duration kSettle = state::Milliseconds(60'000);
constexpr std::int64_t kStepSeconds = 10;

std::uint64_t TotalBytes(const FleetFixture& fleet) {
  std::uint64_t bytes = 0;
  for (const std::unique_ptr<FleetHost>& host : fleet.hosts) {
    bytes += host->budget.Total();
  }
  return bytes;
}

void BM_ControlCost(benchmark::State& bench_state) {
  const std::size_t hosts = static_cast<std::size_t>(bench_state.range(0));
  FleetFixture fleet(hosts, kDomains, 1);
  fleet.platform.Put("domain/d0", "in");
  fleet.Start();
  fleet.Run(kSettle);
  const std::uint64_t bytes_before = TotalBytes(fleet);
  std::int64_t virtual_seconds = 0;
  while (bench_state.KeepRunning()) {
    fleet.Run(state::Milliseconds(1'000 * kStepSeconds));
    virtual_seconds += kStepSeconds;
  }
  const double host_seconds =
      static_cast<double>(virtual_seconds) * static_cast<double>(hosts);
  bench_state.counters["bytes_per_host_second"] =
      static_cast<double>(TotalBytes(fleet) - bytes_before) / host_seconds;
  bench_state.counters["cpu_seconds_per_host_second"] = benchmark::Counter(
      host_seconds, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(BM_ControlCost)
    ->Arg(9)
    ->Arg(30)
    ->Arg(60)
    ->Arg(200)
    ->Arg(570)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace banyanknot::coordination::fleet_testing
