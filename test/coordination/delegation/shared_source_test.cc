#include "banyanknot/coordination/delegation/shared_source.h"

#include <catch2/catch.hpp>
#include <string>

#include "coordination/delegation/sharing_fleet.h"

namespace banyanknot::coordination::routing_testing {
namespace {

constexpr int kHosts = 20;

TEST_CASE("Two watchers call the source and all hosts hear of each change") {
  SharingFleet fleet(kHosts);
  fleet.Start();
  fleet.Advance(Milliseconds(6'000));
  const int calls_at_start = fleet.Calls();
  for (int index = 0; index < 10; ++index) {
    const std::uint64_t revision = fleet.Write();
    fleet.Advance(Milliseconds(1'000));
    CHECK(fleet.CountKnowing(revision) == kHosts);
  }
  fleet.Advance(Milliseconds(20'000));
  // Two watchers for 30 s at 2 s a call, and one call a change.
  CHECK(fleet.Calls() - calls_at_start <= 2 * (15 + 10 + 2));
}

TEST_CASE("A small domain follows the source host by host") {
  SharingFleet fleet(4);
  fleet.Start();
  fleet.Advance(Milliseconds(10'000));
  for (const char* id : {"h0", "h1", "h2", "h3"}) {
    CHECK(fleet.At(id).source.watches > 0);
  }
}

// The tightest of the users' bounds on an order to take a domain out is 5 s,
// from its acknowledgement to the last request.
constexpr state::Duration kOrderBound = Milliseconds(5'000);

TEST_CASE("Changes reach all hosts in time when watchers die or fall silent") {
  for (const int dead : {1, 2}) {
    SharingFleet fleet(kHosts);
    fleet.Start();
    fleet.Advance(Milliseconds(8'000));
    for (int index = 0; index < dead; ++index) {
      fleet.At("h" + std::to_string(index)).is_up = false;
    }
    const std::uint64_t revision = fleet.Write();
    fleet.Advance(kOrderBound);
    CHECK(fleet.CountKnowing(revision) == kHosts - dead);
  }
}

TEST_CASE("Changes reach all hosts in time when watchers lose the source") {
  for (const int cut : {1, 2}) {
    SharingFleet fleet(kHosts);
    fleet.Start();
    fleet.Advance(Milliseconds(8'000));
    for (int index = 0; index < cut; ++index) {
      fleet.At("h" + std::to_string(index)).source.is_up = false;
    }
    const std::uint64_t revision = fleet.Write();
    fleet.Advance(kOrderBound);
    CHECK(fleet.CountKnowing(revision) >= kHosts - cut);
    // Those that lost the source hear of changes from the other watcher only
    // as followers; they are out of touch.
    for (int index = 0; index < cut; ++index) {
      fleet.At("h" + std::to_string(index)).source.is_up = true;
    }
    fleet.Advance(Milliseconds(8'000));
    CHECK(fleet.CountKnowing(revision) == kHosts);
  }
}

// Guards against a follower that hears of a stale watcher only at the end of a
// wait that began while it was not.
TEST_CASE("Followers leave a watcher as soon as its view is stale") {
  SharingFleet fleet(kHosts);
  fleet.Start();
  fleet.Advance(Milliseconds(8'000));
  const std::uint64_t known = fleet.Write();
  fleet.Advance(Milliseconds(200));
  REQUIRE(fleet.CountKnowing(known) == kHosts);
  for (const char* id : {"h0", "h1"}) fleet.At(id).source.is_up = false;
  const std::uint64_t revision = fleet.Write();
  fleet.Advance(SharedSource::kMaxAge + Milliseconds(300));
  CHECK(fleet.CountKnowing(revision) >= kHosts - 2);
}

// Guards against a host that reaches the source following a watcher that
// doesn't: the source's answer that its history is gone counted as an outage.
TEST_CASE("A dropped history leads to a read of the source, not an old view") {
  for (const int cut : {1, 2}) {
    SharingFleet fleet(kHosts);
    fleet.Start();
    fleet.Advance(Milliseconds(8'000));
    for (int index = 0; index < cut; ++index) {
      fleet.At("h" + std::to_string(index)).source.is_up = false;
    }
    fleet.Advance(Milliseconds(300));
    fleet.Write();
    fleet.DropHistory();
    fleet.Advance(Milliseconds(500));
    const std::uint64_t revision = fleet.Write();
    fleet.Advance(kOrderBound);
    CHECK(fleet.CountKnowing(revision) >= kHosts - cut);
  }
}

// Guards against the watcher with the old view being asked first while the
// source fails, though the other one has the newest.
TEST_CASE("Hosts that the source refuses follow the watcher that it serves") {
  for (const char* stale : {"h0", "h1"}) {
    SharingFleet fleet(kHosts);
    fleet.Start();
    fleet.Advance(Milliseconds(8'000));
    const std::string served = stale == std::string("h0") ? "h1" : "h0";
    fleet.SetSourceUp(false);
    fleet.At(served).source.is_up = true;
    fleet.Advance(Milliseconds(6'000));
    const std::uint64_t revision = fleet.Write();
    fleet.Advance(kOrderBound);
    // The other watcher follows nobody.
    CHECK(fleet.CountKnowing(revision) >= kHosts - 1);
  }
}

TEST_CASE("A host of which the source refuses calls hears from a watcher") {
  SharingFleet fleet(kHosts);
  fleet.At("h7").source.is_up = false;
  fleet.Start();
  fleet.Advance(Milliseconds(4'000));
  const std::uint64_t revision = fleet.Write();
  fleet.Advance(Milliseconds(2'000));
  CHECK(fleet.CountKnowing(revision) == kHosts);
}

TEST_CASE("An outage of the source is not called by all hosts at once") {
  SharingFleet fleet(kHosts);
  fleet.Start();
  fleet.Advance(Milliseconds(8'000));
  fleet.SetSourceUp(false);
  const int calls_before = fleet.Calls();
  fleet.Advance(Milliseconds(10'000));
  // Followed directly: one call each 0.2 to 0.6 s a host, some 400.
  CHECK(fleet.Calls() - calls_before <= 260);
  const std::uint64_t revision = fleet.Write();
  fleet.SetSourceUp(true);
  fleet.Advance(Milliseconds(3'000));
  CHECK(fleet.CountKnowing(revision) == kHosts);
}

// Guards against hosts that go on from a revision which the source has given
// out again, and never hear of what took its place.
TEST_CASE("Changes that reuse revisions reach all hosts") {
  for (const int hosts : {4, kHosts}) {
    SharingFleet fleet(hosts);
    fleet.Start();
    fleet.Advance(Milliseconds(8'000));
    const std::uint64_t copied = fleet.Write();
    fleet.Advance(Milliseconds(2'000));
    fleet.Write();
    const std::uint64_t lost = fleet.Write();
    fleet.Advance(Milliseconds(2'000));
    REQUIRE(fleet.CountKnowing(lost) == hosts);
    fleet.ReturnFromCopy(copied);
    const std::uint64_t rewritten = fleet.Write();
    REQUIRE(rewritten < lost);
    std::uint64_t newest = rewritten;
    while (newest < lost + 2) newest = fleet.Write();
    const int calls_before = fleet.Calls();
    fleet.Advance(Milliseconds(3'000));
    CHECK(fleet.CountKnowing(rewritten, 1) == hosts);
    CHECK(fleet.CountKnowing(newest, 1) == hosts);
    // Followers read anew through the watchers.
    if (hosts == kHosts) CHECK(fleet.Calls() - calls_before <= kHosts / 2);
  }
}

// Guards against a long first watch at a source that has returned unnoticed
// while a watcher, or nobody, was asked.
TEST_CASE("The first watch at the source after other calls returns soon") {
  SharingFleet fleet(4);
  SharingFleet::Host& host = fleet.At("h0");
  fleet.Start();
  fleet.Advance(Milliseconds(10'000));
  REQUIRE(host.source.waits.size() >= 2);
  CHECK(host.source.waits.back() > Milliseconds(1'000));
  host.source.is_up = false;
  fleet.Advance(Milliseconds(6'000));
  const std::size_t failed = host.source.waits.size();
  CHECK(host.source.waits.back() <= Milliseconds(200));
  host.source.is_up = true;
  fleet.Advance(Milliseconds(6'000));
  REQUIRE(host.source.waits.size() > failed + 1);
  CHECK(host.source.waits.back() > Milliseconds(1'000));

  SharingFleet large(kHosts);
  SharingFleet::Host& follower = large.At("h9");
  large.Start();
  large.Advance(Milliseconds(10'000));
  const std::size_t before = follower.source.waits.size();
  for (const char* id : {"h0", "h1"}) large.At(id).is_up = false;
  large.Advance(Milliseconds(6'000));
  REQUIRE(follower.source.waits.size() > before);
  CHECK(follower.source.waits[before] <= Milliseconds(200));
}

TEST_CASE("A second return of the source is followed like the first") {
  SharingFleet fleet(kHosts);
  fleet.Start();
  fleet.Advance(Milliseconds(8'000));
  const std::uint64_t copied = fleet.Write();
  fleet.Write();
  fleet.Advance(Milliseconds(2'000));
  fleet.ReturnFromCopy(copied);
  fleet.Write();
  fleet.Write();
  fleet.Advance(Milliseconds(300));
  fleet.ReturnFromCopy(copied);
  const std::uint64_t rewritten = fleet.Write();
  fleet.Write();
  fleet.Advance(Milliseconds(3'000));
  CHECK(fleet.CountKnowing(rewritten, 2) == kHosts);
}

TEST_CASE("A watcher that is still in an older era is left for the source") {
  SharingFleet fleet(kHosts);
  fleet.Start();
  fleet.Advance(Milliseconds(8'000));
  const std::uint64_t copied = fleet.Write();
  fleet.Advance(Milliseconds(2'000));
  fleet.ReturnFromCopy(copied);
  for (const char* id : {"h0", "h1"}) fleet.At(id).source.is_up = false;
  const std::uint64_t rewritten = fleet.Write();
  fleet.Advance(kOrderBound);
  CHECK(fleet.CountKnowing(rewritten, 1) >= kHosts - 2);
}

TEST_CASE("A snapshot older than what a host knows is not used") {
  SharingFleet fleet(kHosts);
  fleet.Start();
  fleet.Advance(Milliseconds(8'000));
  SharingFleet::Host& host = fleet.At("h9");
  const std::uint64_t newest = fleet.Write();
  fleet.Advance(Milliseconds(2'000));
  REQUIRE(host.Knows({newest, 0}));
  // Watchers that went back, as nothing here should.
  for (const char* id : {"h0", "h1"}) {
    RoutingBatch old;
    old.position.revision = 1;
    fleet.At(id).history.RecordSnapshot(old, fleet.time.Now());
  }
  bool is_answered = false;
  host.shared.ReadAll(
      [&](const state::Result<RoutingBatch, SourceFailure>& result) {
        is_answered = true;
        REQUIRE(state::IsOk(result));
        CHECK(state::ValueOf(result).position.revision >= newest);
      });
  fleet.time.Advance(Milliseconds(100));
  CHECK(is_answered);
}

// Guards against a host that follows the source in place of lost watchers and
// passes on, as if it were new, what it knew before it followed them.
TEST_CASE("Hosts that take over from lost watchers pass on all changes") {
  SharingFleet fleet(7);
  fleet.Start();
  fleet.Publish(LogDecoder::kRoutesKey, "7");
  fleet.Advance(Milliseconds(8'000));
  fleet.Publish(LogDecoder::kRoutesKey, "9");
  fleet.Advance(Milliseconds(6'000));
  for (const char* id : {"h0", "h1"}) fleet.Lose(id);
  fleet.Advance(Milliseconds(7'000));
  fleet.Write();
  fleet.Advance(Milliseconds(2'000));
  fleet.Restart("h6", false);
  fleet.Advance(Milliseconds(3'000));
  SharingFleet::Host& restarted = fleet.At("h6");
  REQUIRE(restarted.fixture.routes.Current() != nullptr);
  CHECK(restarted.fixture.routes.Current()->Version() == 9);
  restarted.source.is_up = true;
  fleet.Advance(Milliseconds(10'000));
  CHECK(restarted.fixture.routes.Current()->Version() == 9);
}

// Guards against a host that reads, after a pause, a response from before it
// and vouches for what it says as if it were new.
TEST_CASE("A response that is read after a pause makes a view no fresher") {
  for (const int hosts : {4, 7}) {
    for (const char* id : {"h0", "h3"}) {
      SharingFleet fleet(hosts);
      fleet.Start();
      fleet.Advance(Milliseconds(8'000));
      SharingFleet::Host& host = fleet.At(id);
      host.timers.Pause();
      fleet.Write();
      fleet.Advance(Milliseconds(10'000));
      fleet.Write();
      host.timers.Resume();
      const state::TimePoint now = fleet.time.Now();
      CHECK(host.history.Snapshot(now).age > SharedSource::kMaxAge);
      REQUIRE(host.follower.Age(now).has_value());
      CHECK(*host.follower.Age(now) > SharedSource::kMaxAge);
      fleet.Advance(Milliseconds(3'000));
      CHECK(fleet.CountKnowing(fleet.log.Position().revision) == hosts);
      CHECK(*host.follower.Age(fleet.time.Now()) <=
            SharedSource::kMaxAge + SharedSource::kWatcherWait);
    }
  }
}

}  // namespace
}  // namespace banyanknot::coordination::routing_testing
