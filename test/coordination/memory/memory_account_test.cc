#include "banyanknot/coordination/memory/memory_account.h"

#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "banyanknot/coordination/memory/descriptor_shares.h"
#include "coordination/fleet/support/virtual_time.h"

namespace banyanknot::coordination {
namespace {

using state::Milliseconds;

constexpr std::size_t kKiB = 1u << 10;

struct AccountFixture {
  /// Opens a holder that releases its bytes when it is asked to.
  MemoryHolderId Open() {
    const MemoryHolderId id = this->account.Open([this] { ++this->asked; });
    return id;
  }
  fleet_testing::VirtualTime time;
  StalledFirstPolicy policy;
  MemoryAccount account{time, policy, 1'024 * kKiB};
  int asked = 0;
};

TEST_CASE("Those that hold most for longest without progress give way") {
  const state::TimePoint now{Milliseconds(100'000)};
  const auto holder = [now](MemoryHolderId id, std::size_t kib,
                            std::int64_t stalled_ms, bool can_give_way = true) {
    return MemoryHolder{id, kib * kKiB, now - Milliseconds(stalled_ms),
                        can_give_way};
  };
  const StalledFirstPolicy policy;
  const std::vector<MemoryHolder> holders = {
      holder(1, 240, 10),           holder(2, 240, 5'000),
      holder(3, 16, 60'000),        holder(4, 100, 20'000),
      holder(5, 999, 9'000, false), holder(6, 8, 0)};
  CHECK(policy.Choose(holders, 300 * kKiB, now) ==
        std::vector<MemoryHolderId>{4, 2});
  CHECK(policy.Choose(holders, 350 * kKiB, now) ==
        std::vector<MemoryHolderId>{4, 2, 1});
  // Small ones only once no large one is left.
  CHECK(policy.Choose(holders, 590 * kKiB, now) ==
        std::vector<MemoryHolderId>{4, 2, 1, 3});
  CHECK(policy.Choose(holders, 9'999 * kKiB, now).size() == 5);
  CHECK(policy.Choose({}, kKiB, now).empty());
}

TEST_CASE("What is held is released exactly once") {
  AccountFixture fixture;
  const MemoryHolderId id = fixture.Open();
  CHECK(fixture.account.TryHold(id, 100 * kKiB, true));
  CHECK(fixture.account.TryHold(id, 40 * kKiB, true));
  CHECK(fixture.account.HeldBytes() == 40 * kKiB);
  fixture.account.Close(id);
  fixture.account.Close(id);
  CHECK(fixture.account.HeldBytes() == 0);
  CHECK(fixture.account.TakePeak() == 100 * kKiB);
  CHECK(fixture.account.TakePeak() == 0);
}

TEST_CASE("A large holder beyond three quarters makes stalled ones give way") {
  AccountFixture fixture;
  const MemoryHolderId stalled = fixture.Open();
  REQUIRE(fixture.account.TryHold(stalled, 700 * kKiB, true));
  fixture.time.Advance(Milliseconds(1'000));
  const MemoryHolderId next = fixture.Open();
  // The stalled one is about to release its bytes.
  CHECK(fixture.account.TryHold(next, 200 * kKiB, true));
  CHECK(fixture.asked == 1);
  CHECK(fixture.account.HeldBytes() == 900 * kKiB);
  const MemoryHolderId more = fixture.Open();
  CHECK_FALSE(fixture.account.TryHold(more, 200 * kKiB, true));
  CHECK(fixture.account.Refusals() == 1);
  fixture.account.Close(stalled);
  CHECK(fixture.account.TryHold(more, 200 * kKiB, true));
  CHECK(fixture.asked == 1);
}

TEST_CASE("Small holders have a reserve that large ones can't take") {
  AccountFixture fixture;
  const MemoryHolderId running = fixture.Open();
  REQUIRE(fixture.account.TryHold(running, 760 * kKiB, false));
  const MemoryHolderId large = fixture.Open();
  CHECK_FALSE(fixture.account.TryHold(large, 64 * kKiB, true));
  const MemoryHolderId small = fixture.Open();
  CHECK(fixture.account.TryHold(small, 16 * kKiB, true));
}

TEST_CASE("A holder that grows does not make itself give way") {
  AccountFixture fixture;
  const MemoryHolderId id = fixture.Open();
  REQUIRE(fixture.account.TryHold(id, 700 * kKiB, true));
  CHECK_FALSE(fixture.account.TryHold(id, 900 * kKiB, true));
  fixture.account.Hold(id, 900 * kKiB, true);
  CHECK(fixture.asked == 0);
}

TEST_CASE("What exists already is held even beyond the limit") {
  AccountFixture fixture;
  const MemoryHolderId first = fixture.Open();
  fixture.account.Hold(first, 900 * kKiB, true);
  const MemoryHolderId second = fixture.Open();
  fixture.account.Hold(second, 900 * kKiB, true);
  CHECK(fixture.account.HeldBytes() == 1'800 * kKiB);
  CHECK(fixture.asked == 1);
  const MemoryHolderId small = fixture.Open();
  CHECK_FALSE(fixture.account.TryHold(small, kKiB, true));
  fixture.account.Close(first);
  fixture.account.Close(second);
  CHECK(fixture.account.TryHold(small, kKiB, true));
}

TEST_CASE("Holders on many threads leave an empty account") {
  AccountFixture fixture;
  std::vector<std::thread> threads;
  for (std::size_t thread = 0; thread < 4; ++thread) {
    threads.emplace_back([&fixture] {
      for (std::size_t round = 0; round < 2'000; ++round) {
        const MemoryHolderId id = fixture.account.Open([] {});
        fixture.account.TryHold(id, (round % 300) * kKiB, round % 3 != 0);
        fixture.account.Hold(id, (round % 200) * kKiB, true);
        fixture.account.Close(id);
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  CHECK(fixture.account.HeldBytes() == 0);
}

TEST_CASE("Listeners leave descriptors for servers, hosts and the source") {
  struct Row {
    std::size_t limit;
    std::size_t least_left;
  };
  for (const Row& row : {Row{128, 40}, Row{160, 60}, Row{4'100, 900},
                         Row{8'192, 3'000}, Row{1u << 20, 1u << 19}}) {
    INFO(row.limit);
    const DescriptorShares shares = ShareDescriptors(row.limit);
    const std::size_t taken = shares.callers + shares.hosts + 2 * shares.status;
    CHECK(shares.callers > 0);
    CHECK(shares.hosts > 0);
    CHECK(shares.status >= 4);
    CHECK(row.limit - taken >= row.least_left);
  }
  CHECK(ShareDescriptors(4'100).callers == 2'500);
}

}  // namespace
}  // namespace banyanknot::coordination
