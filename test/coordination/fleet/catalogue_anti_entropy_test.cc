#include "banyanknot/coordination/fleet/catalogue_anti_entropy.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "coordination/fleet/support/fleet_host.h"

namespace banyanknot::coordination::fleet_testing {
namespace {

constexpr state::Duration kSettleTime = state::Milliseconds(10'000);
constexpr state::Duration kReplicationBound = state::Milliseconds(2'000);
constexpr state::Duration kFaultReplicationBound = state::Milliseconds(6'000);

enum class Fault { kNone, kLoss, kPlatformCut, kLossAndPlatformCut };

struct ReplicationCase {
  const char* name;
  std::size_t hosts;
  std::size_t domains;
  Fault fault;
  state::Duration bound;
};

void Inject(FleetFixture& fleet, Fault fault) {
  const bool has_loss =
      fault == Fault::kLoss || fault == Fault::kLossAndPlatformCut;
  if (has_loss) fleet.network.loss_permille = 100;
  const bool has_cut =
      fault == Fault::kPlatformCut || fault == Fault::kLossAndPlatformCut;
  if (has_cut) fleet.CutFromPlatform(1);
}

TEST_CASE("A hundred changes reach all hosts in time and none reverts") {
  const std::vector<ReplicationCase> cases{
      {"9 hosts in 3", 9, 3, Fault::kNone, kReplicationBound},
      {"9 hosts in 4", 9, 4, Fault::kNone, kReplicationBound},
      {"loss", 9, 3, Fault::kLoss, kFaultReplicationBound},
      {"cut from platform", 9, 3, Fault::kPlatformCut, kFaultReplicationBound},
      {"both", 9, 4, Fault::kLossAndPlatformCut, kFaultReplicationBound},
      {"36 hosts, cut", 36, 4, Fault::kPlatformCut, kFaultReplicationBound},
  };
  for (const ReplicationCase& item : cases) {
    INFO(item.name);
    FleetFixture fleet(item.hosts, item.domains, 11);
    fleet.platform.Put("domain/d0", "first");
    fleet.Start();
    fleet.Run(kSettleTime);
    Inject(fleet, item.fault);
    std::map<const FleetHost*, std::uint64_t> seen;
    state::Duration slowest{0};
    for (int change = 0; change < 100; ++change) {
      const std::string text = "in " + std::to_string(change);
      fleet.platform.Put("domain/d0", text);
      const state::Duration taken =
          fleet.RunUntilAll(item.bound, [&seen, &text](const FleetHost& host) {
            const std::uint64_t revision = host.RevisionOf("domain/d0");
            REQUIRE(revision >= seen[&host]);
            seen[&host] = revision;
            return host.TextOf("domain/d0") == text;
          });
      slowest = std::max(slowest, taken);
      fleet.Run(state::Milliseconds(50));
    }
    INFO("slowest change: " << state::ToMilliseconds(slowest) << " ms");
    CHECK(slowest <= item.bound);
  }
}

TEST_CASE(
    "A tombstone replicates and an older copy does not revive the entry") {
  FleetFixture fleet(6, 3, 5);
  fleet.platform.Put("domain/d0", "out");
  fleet.Start();
  fleet.Run(kSettleTime);
  fleet.platform.Delete("domain/d0");
  CHECK(fleet.RunUntilAll(kReplicationBound, [](const FleetHost& host) {
    return host.RevisionOf("domain/d0") == 2 &&
           host.TextOf("domain/d0").empty();
  }) <= kReplicationBound);
  for (const std::unique_ptr<FleetHost>& host : fleet.hosts) {
    host->anti_entropy.Apply({{"domain/d0", 1, false, "out"}}, "platform");
    CHECK(host->TextOf("domain/d0").empty());
  }
}

TEST_CASE(
    "A new host pulls entries from its peers while the platform is stale") {
  FleetFixture fleet(6, 3, 7);
  fleet.platform.Put("domain/d0", "in");
  fleet.Start();
  fleet.Run(kSettleTime);
  fleet.platform.Freeze();
  fleet.platform.Put("domain/d0", "out");
  fleet.hosts[0]->anti_entropy.Apply({{"domain/d0", 2, false, "out"}},
                                     "platform");
  fleet.Run(state::Milliseconds(3'000));
  FleetHost& new_host = fleet.Add(9, 1, 1);
  new_host.Start();
  CHECK(fleet.RunUntilAll(kFaultReplicationBound, [](const FleetHost& host) {
    return host.TextOf("domain/d0") == "out";
  }) <= kFaultReplicationBound);
  fleet.Run(state::Milliseconds(60'000));
  CHECK(new_host.TextOf("domain/d0") == "out");
}

TEST_CASE("A host cut off from its peers follows the platform") {
  FleetFixture fleet(9, 3, 8);
  fleet.platform.Put("domain/d0", "in");
  fleet.Start();
  fleet.Run(kSettleTime);
  fleet.CutFromPeers(2);
  fleet.Run(kSettleTime);
  fleet.platform.Put("domain/d0", "out");
  CHECK(fleet.RunUntilAll(kReplicationBound, [](const FleetHost& host) {
    return host.TextOf("domain/d0") == "out";
  }) <= kReplicationBound);
}

TEST_CASE("A refused entry is applied on no host and others still replicate") {
  FleetFixture fleet(6, 3, 9);
  fleet.platform.Put("domain/d0", "in");
  fleet.Start();
  fleet.Run(kSettleTime);
  fleet.platform.Put("domain/d0", "bad");
  fleet.platform.Put("domain/d1", "out");
  CHECK(fleet.RunUntilAll(kReplicationBound, [](const FleetHost& host) {
    return host.TextOf("domain/d1") == "out";
  }) <= kReplicationBound);
  fleet.Run(state::Milliseconds(180'000));
  for (const std::unique_ptr<FleetHost>& host : fleet.hosts) {
    CHECK(host->TextOf("domain/d0") == "in");
    CHECK(host->audit.Count(AuditKind::kEntryRefused) <= 1);
  }
}

TEST_CASE("Conflicting contents of one revision converge on all hosts") {
  FleetFixture fleet(9, 3, 10);
  fleet.platform.Put("domain/d0", "in");
  fleet.Start();
  fleet.Run(kSettleTime);
  fleet.hosts[0]->anti_entropy.Apply({{"domain/d0", 2, false, "first"}},
                                     "platform");
  fleet.hosts[4]->anti_entropy.Apply({{"domain/d0", 2, false, "second"}},
                                     "platform");
  fleet.Run(kSettleTime);
  const std::string text = fleet.hosts[0]->TextOf("domain/d0");
  for (const std::unique_ptr<FleetHost>& host : fleet.hosts) {
    CHECK(host->TextOf("domain/d0") == text);
  }
}

TEST_CASE("A small edit of a large entry is sent as a small patch") {
  FleetFixture fleet(9, 3, 12);
  std::string text;
  for (int index = 0; index < 60'000; ++index) {
    text += "item " + std::to_string(index) + ";";
  }
  fleet.platform.Put("domain/d0", text);
  fleet.Start();
  fleet.Run(kSettleTime);
  std::uint64_t before = 0;
  for (const std::unique_ptr<FleetHost>& host : fleet.hosts) {
    REQUIRE(host->TextOf("domain/d0").size() == text.size());
    before += host->budget.Total();
  }
  text.replace(text.find("item 30000;"), 11, "item changed;");
  fleet.platform.Put("domain/d0", "in" + text);
  CHECK(fleet.RunUntilAll(kReplicationBound, [&text](const FleetHost& host) {
    return host.TextOf("domain/d0") == "in" + text;
  }) <= kReplicationBound);
  std::uint64_t after = 0;
  for (const std::unique_ptr<FleetHost>& host : fleet.hosts) {
    after += host->budget.Total();
  }
  CHECK(after - before < 9 * 8'192);
}

}  // namespace
}  // namespace banyanknot::coordination::fleet_testing
