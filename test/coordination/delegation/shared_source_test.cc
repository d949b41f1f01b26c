#include "banyanknot/coordination/delegation/shared_source.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "coordination/routing/relay_fixture.h"

namespace banyanknot::coordination::routing_testing {
namespace {

constexpr state::Duration kWait = Milliseconds(4'500);

/// A source with revisions that tests write; each change is one evacuation.
class FakeSource : public RoutingSource {
 public:
  explicit FakeSource(fleet_testing::VirtualTime& time) : time(time) {}

  void ReadAll(RoutingBatchHandler handler) override {
    ++this->reads;
    this->Reply(Milliseconds(4), [this, handler = std::move(handler)] {
      if (!this->is_up) {
        handler(SourceFailure::kRefused);
        return;
      }
      handler(this->BatchAfter(0));
    });
  }
  void Watch(const state::SourcePosition& position, state::Duration wait,
             RoutingBatchHandler handler) override {
    ++this->watches;
    this->waits.push_back(wait);
    const std::uint64_t after = position.revision;
    if (!this->is_up || this->revision != after) {
      this->Reply(Milliseconds(4),
                  [this, position, handler = std::move(handler)] {
                    if (!this->is_up) {
                      handler(SourceFailure::kRefused);
                    } else if (position.revision < this->oldest_revision ||
                               position.revision > this->revision) {
                      handler(SourceFailure::kHistoryGone);
                    } else {
                      handler(RequireContinuation(
                          position, this->BatchAfter(position.revision)));
                    }
                  });
      return;
    }
    const std::shared_ptr<bool> is_done = std::make_shared<bool>(false);
    const auto end = [this, position, is_done, handler = std::move(handler)] {
      if (std::exchange(*is_done, true)) return;
      if (this->is_up) {
        handler(
            RequireContinuation(position, this->BatchAfter(position.revision)));
      } else {
        handler(SourceFailure::kSilent);
      }
    };
    this->time.RunAt(this->time.Now() + wait, end);
    this->waiting.push_back(end);
  }
  void Write() {
    ++this->revision;
    this->names[this->revision] = NameOf({this->revision, this->era});
    std::vector<std::function<void()>> ended;
    ended.swap(this->waiting);
    if (!this->is_up) return;
    for (const std::function<void()>& end : ended) end();
  }

  /// Returns from a copy that was taken at a revision; open watches are cut.
  void ReturnFromCopy(std::uint64_t copied) {
    this->is_up = false;
    for (const std::function<void()>& end : std::exchange(this->waiting, {})) {
      end();
    }
    this->is_up = true;
    this->revision = copied;
    ++this->era;
    for (std::uint64_t lost = copied + 1; this->names.erase(lost) > 0;) ++lost;
  }
  static std::string NameOf(const state::SourcePosition& position) {
    return "domain" + std::to_string(position.revision) + "-" +
           std::to_string(position.era);
  }

  std::uint64_t revision = 1;
  std::uint64_t era = 0;
  std::uint64_t oldest_revision = 0;  // changes after it are known
  bool is_up = true;
  int reads = 0;
  int watches = 0;
  std::vector<state::Duration> waits;

 private:
  void Reply(state::Duration after, std::function<void()> reply) {
    this->time.RunAt(this->time.Now() + after, std::move(reply));
  }
  RoutingBatch BatchAfter(std::uint64_t after) const {
    RoutingBatch batch;
    batch.position = {this->revision, this->era};
    for (const auto& [number, name] : this->names) {
      if (number <= after) continue;
      batch.changes.push_back(
          DomainStateChange{state::FailureDomainId(name), true});
      batch.encoded.push_back({name, name, false, number});
    }
    return batch;
  }

  fleet_testing::VirtualTime& time;
  std::map<std::uint64_t, std::string> names{{1, NameOf({1, 0})}};
  std::vector<std::function<void()>> waiting;
};

class NameDecoder : public ChangeDecoder {
 public:
  std::optional<RoutingChange> Decode(
      const EncodedChange& change) const override {
    return DomainStateChange{state::FailureDomainId(change.text), true};
  }
};

/// A failure domain of hosts that follow one source, each by a SourceFollower.
class SharingFleet {
 public:
  struct Host : HostLink {
    Host(SharingFleet& fleet, const state::HostAdvert& own)
        : fleet(fleet),
          roster(own),
          source(fleet.time),
          shared(fleet.time, source, *this, roster, fleet.decoder, history,
                 fixture.log),
          follower(fleet.time, fleet.time, fleet.random, shared, fixture.intake,
                   fixture.log, Milliseconds(6'000)) {}
    std::shared_ptr<RelayCall> Delegate(
        const state::Endpoint& /*host*/, DelegatedRequest /*request*/,
        DelegationHandler /*handler*/) override {
      return nullptr;
    }
    void ExchangeAdverts(const state::Endpoint& /*host*/,
                         const state::HostAdvert& /*own*/,
                         AdvertsHandler handler) override {
      handler(std::nullopt);
    }
    void FollowChanges(const state::Endpoint& host,
                       const state::SourcePosition& after, state::Duration wait,
                       ChangesHandler handler) override {
      Host& other = this->fleet.At(host.address);
      const state::TimePoint now = this->fleet.time.Now();
      if (!other.is_up) {
        this->fleet.time.RunAt(now + wait + Milliseconds(300),
                               [handler] { handler(std::nullopt); });
        return;
      }
      const std::shared_ptr<bool> is_done = std::make_shared<bool>(false);
      const std::shared_ptr<std::function<void()>> reply =
          std::make_shared<std::function<void()>>(
              [this, &other, after, is_done, handler] {
                if (std::exchange(*is_done, true)) return;
                if (!other.is_up) {
                  handler(std::nullopt);
                  return;
                }
                handler(other.history.After(after, this->fleet.time.Now()));
              });
      this->fleet.time.RunAt(now + wait, [reply] { (*reply)(); });
      other.history.NotifyAfter(after, reply);
    }
    void ReadSnapshot(const state::Endpoint& host,
                      ChangesHandler handler) override {
      Host& other = this->fleet.At(host.address);
      const state::TimePoint now = this->fleet.time.Now();
      this->fleet.time.RunAt(now + Milliseconds(1), [this, &other, handler] {
        if (!other.is_up) {
          handler(std::nullopt);
          return;
        }
        handler(other.history.Snapshot(this->fleet.time.Now()));
      });
    }
    bool Knows(const state::SourcePosition& change) const {
      const std::vector<state::FailureDomainId> out =
          this->fixture.servers.DomainsOut();
      return std::count(out.begin(), out.end(),
                        state::FailureDomainId(FakeSource::NameOf(change))) > 0;
    }

    SharingFleet& fleet;
    bool is_up = true;
    RelayFixture fixture;
    GathererRoster roster;
    FakeSource source;
    ChangeHistory history;
    SharedSource shared;
    SourceFollower follower;
  };

  explicit SharingFleet(int size) {
    for (int index = 0; index < size; ++index) {
      state::HostAdvert own;
      own.id = state::HostId("h" + std::to_string(index));
      own.domain = state::FailureDomainId("a");
      own.endpoint = {own.id.Text(), 80};
      own.cores = index < 2 ? 0.5 : 0.12;
      own.takes_work = true;
      this->adverts.push_back(own);
      this->hosts.emplace(own.id.Text(), std::make_unique<Host>(*this, own));
    }
  }
  Host& At(const std::string& id) { return *this->hosts.at(id); }
  /// All hosts hear of each other; watchers that are down say nothing.
  void Introduce() {
    for (const auto& [id, host] : this->hosts) {
      for (const state::HostAdvert& advert : this->adverts) {
        if (!this->At(advert.id.Text()).is_up) continue;
        host->roster.Hear(advert, this->time.Now());
      }
    }
  }
  void Start() {
    for (const auto& [id, host] : this->hosts) host->follower.Start();
  }
  void Advance(state::Duration duration) {
    for (state::Duration passed{0}; passed < duration;
         passed += Milliseconds(100)) {
      this->Introduce();
      this->time.Advance(Milliseconds(100));
    }
  }
  /// Writes a change at the source, as all hosts see it.
  std::uint64_t Write() {
    std::uint64_t revision = 0;
    for (const auto& [id, host] : this->hosts) {
      host->source.Write();
      revision = host->source.revision;
    }
    return revision;
  }
  void DropHistory() {
    for (const auto& [id, host] : this->hosts) {
      host->source.oldest_revision = host->source.revision;
    }
  }
  void SetSourceUp(bool is_up) {
    for (const auto& [id, host] : this->hosts) host->source.is_up = is_up;
  }
  void ReturnFromCopy(std::uint64_t copied) {
    for (const auto& [id, host] : this->hosts) {
      host->source.ReturnFromCopy(copied);
    }
  }
  int CountKnowing(std::uint64_t revision, std::uint64_t era = 0) {
    int count = 0;
    for (const auto& [id, host] : this->hosts) {
      if (host->is_up && host->Knows({revision, era})) ++count;
    }
    return count;
  }
  int Calls() {
    int calls = 0;
    for (const auto& [id, host] : this->hosts) {
      calls += host->source.reads + host->source.watches;
    }
    return calls;
  }

  fleet_testing::VirtualTime time;
  FixedRandomSource random{3};
  NameDecoder decoder;

 private:
  std::vector<state::HostAdvert> adverts;
  std::map<std::string, std::unique_ptr<Host>> hosts;
};

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

}  // namespace
}  // namespace banyanknot::coordination::routing_testing
