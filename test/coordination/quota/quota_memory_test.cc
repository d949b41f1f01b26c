#include <catch2/catch.hpp>
#include <cstddef>
#include <map>
#include <memory>

#include "coordination/quota/quota_fleet.h"

namespace banyanknot::coordination::quota_testing {
namespace {

TEST_CASE("Hosts that stay cut off for minutes don't take shares anew") {
  QuotaFleet fleet({2, 6, {8, 16}});
  fleet.Advance(Milliseconds(10'000));
  std::map<std::size_t, int> groups;
  // Three hosts of each domain are alone, the others stay together.
  for (std::size_t place = 0; place < fleet.Places(); ++place) {
    const std::size_t rank = place % 6;
    groups[place] = rank >= 1 && rank <= 3 ? 1 + static_cast<int>(place) : 0;
  }
  fleet.Split(groups);
  fleet.Load(60, Milliseconds(90'000), [&] { return fleet.AnyPlace(); });
  CHECK(static_cast<double>(fleet.MostInWindow()) <= fleet.Limit());
}

TEST_CASE("Credit of an idle workspace doesn't outlive a lowered burst") {
  QuotaFleet fleet({4, 5, {8, 400}});
  // Long enough for full accounts, which a first request opens.
  fleet.Load(4, Milliseconds(90'000), [&] { return fleet.AnyPlace(); });
  fleet.Publish({8, 8});
  fleet.Advance(Milliseconds(10'000));
  const state::TimePoint since = fleet.time.Now();
  fleet.Load(400, Milliseconds(3'000), [&] { return fleet.AnyPlace(); });
  CHECK(static_cast<double>(fleet.MostInWindow(since)) <=
        (8 * 5 + 8) * 1.25 + 20);
}

}  // namespace
}  // namespace banyanknot::coordination::quota_testing
