#include "banyanknot/coordination/delegation/advert_exchange.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/routing/relay_fixture.h"

namespace banyanknot::coordination::routing_testing {
namespace {

/// A fleet of hosts in virtual time that exchange adverts.
class AdvertFleet {
 public:
  struct Host : Readiness, HostLink {
    Host(AdvertFleet& fleet, const state::HostAdvert& own,
         std::vector<state::Endpoint> seeds)
        : fleet(fleet),
          roster(own),
          exchange(fleet.time, fleet.time, fleet.random, *this, roster, *this,
                   std::move(seeds)) {}
    bool IsReady() const override { return this->is_ready; }
    std::shared_ptr<RelayCall> Delegate(
        const state::Endpoint& /*host*/, DelegatedRequest /*request*/,
        DelegationHandler /*handler*/) override {
      return nullptr;
    }
    void FollowChanges(const state::Endpoint& /*host*/,
                       const state::SourcePosition& /*after*/,
                       state::Duration /*wait*/,
                       ChangesHandler handler) override {
      handler(std::nullopt);
    }
    void ReadSnapshot(const state::Endpoint& /*host*/,
                      ChangesHandler handler) override {
      handler(std::nullopt);
    }
    void ExchangeAdverts(const state::Endpoint& host,
                         const state::HostAdvert& own,
                         AdvertsHandler handler) override {
      ++this->calls;
      Host* const other = this->fleet.Reach(*this, host);
      this->fleet.time.RunAt(
          this->fleet.time.Now() + this->fleet.delay,
          [this, other, own, handler = std::move(handler)] {
            if (other == nullptr) {
              handler(std::nullopt);
              return;
            }
            const state::TimePoint now = this->fleet.time.Now();
            other->roster.Hear(own, now);
            this->fleet.time.RunAt(now + this->fleet.delay,
                                   [handler, adverts = other->roster.Adverts(
                                                 own.domain, other->is_ready,
                                                 now)] { handler(adverts); });
          });
    }

    AdvertFleet& fleet;
    bool is_ready = true;
    bool is_up = true;
    int calls = 0;
    GathererRoster roster;
    AdvertExchange exchange;
  };

  /// Adds `small` small hosts and `roomy` roomy ones to a domain.
  void AddDomain(const std::string& domain, int small, int roomy) {
    for (int index = 0; index < small + roomy; ++index) {
      state::HostAdvert own;
      own.id = state::HostId(domain + std::to_string(index));
      own.domain = state::FailureDomainId(domain);
      own.endpoint = {own.id.Text(), 80};
      own.cores = index < roomy ? 0.5 : 0.12;
      this->adverts.push_back(own);
    }
  }
  /// \param seeds ids of the hosts that all hosts know at the start
  void Start(const std::vector<std::string>& seeds) {
    std::vector<state::Endpoint> endpoints;
    for (const std::string& seed : seeds) endpoints.push_back({seed, 80});
    for (const state::HostAdvert& own : this->adverts) {
      this->hosts.emplace(own.id.Text(),
                          std::make_unique<Host>(*this, own, endpoints));
    }
    for (const auto& [id, host] : this->hosts) host->exchange.Start();
  }
  Host* Reach(const Host& from, const state::Endpoint& endpoint) {
    const auto found = this->hosts.find(endpoint.address);
    if (found == this->hosts.end() || !found->second->is_up || !from.is_up) {
      return nullptr;
    }
    return found->second.get();
  }
  Host& At(const std::string& id) { return *this->hosts.at(id); }
  /// Counts the small hosts that have a gatherer.
  int Served() {
    int served = 0;
    for (const auto& [id, host] : this->hosts) {
      if (host->roster.PickGatherer(this->time.Now())) ++served;
    }
    return served;
  }

  /// Counts the other hosts that list one of their domain as alive.
  int CountListing(const std::string& listed) {
    int count = 0;
    for (const auto& [id, host] : this->hosts) {
      if (id == listed) continue;
      for (const state::HostAdvert& advert : host->roster.Adverts(
               host->roster.Own().domain, false, this->time.Now())) {
        if (advert.id.Text() == listed) ++count;
      }
    }
    return count;
  }

  fleet_testing::VirtualTime time;
  FixedRandomSource random{5};
  state::Duration delay = Milliseconds(1);  ///< of a message, one way

 private:
  std::vector<state::HostAdvert> adverts;
  std::map<std::string, std::unique_ptr<Host>> hosts;
};

TEST_CASE("All small hosts know a gatherer of their domain within seconds") {
  AdvertFleet fleet;
  for (const char* domain : {"a", "b", "c"}) fleet.AddDomain(domain, 20, 2);
  fleet.Start({"a5", "b7", "c0"});
  fleet.time.Advance(Milliseconds(5'000));
  CHECK(fleet.Served() == 60);
  for (const char* id : {"a2", "b9", "c21"}) {
    const std::optional<state::HostAdvert> picked =
        fleet.At(id).roster.PickGatherer(fleet.time.Now());
    REQUIRE(picked);
    CHECK(picked->id.Text().front() == id[0]);
  }
  CHECK_FALSE(fleet.At("a0").roster.PickGatherer(fleet.time.Now()));
}

TEST_CASE("A domain goes on without any seed once its hosts know each other") {
  AdvertFleet fleet;
  fleet.AddDomain("a", 20, 2);
  fleet.AddDomain("b", 3, 0);
  fleet.Start({"b0", "b1", "b2"});
  fleet.time.Advance(Milliseconds(5'000));
  REQUIRE(fleet.Served() == 20);
  for (const char* seed : {"b0", "b1", "b2"}) fleet.At(seed).is_up = false;
  fleet.time.Advance(Milliseconds(30'000));
  CHECK(fleet.Served() == 20);
}

TEST_CASE("Hosts of which all seeds are stale gather by themselves") {
  AdvertFleet fleet;
  fleet.AddDomain("a", 20, 2);
  fleet.Start({"gone1", "gone2", "gone3"});
  fleet.time.Advance(Milliseconds(10'000));
  CHECK(fleet.Served() == 0);
}

TEST_CASE("A gatherer that dies or stops is replaced, and used again later") {
  AdvertFleet fleet;
  fleet.AddDomain("a", 20, 2);
  fleet.Start({"a0", "a1", "a2"});
  fleet.time.Advance(Milliseconds(6'000));
  REQUIRE(fleet.Served() == 20);
  fleet.At("a0").is_up = false;
  fleet.At("a1").is_ready = false;
  fleet.time.Advance(Milliseconds(8'000));
  CHECK(fleet.Served() == 0);
  fleet.At("a0").is_up = true;
  fleet.time.Advance(Milliseconds(8'000));
  CHECK(fleet.Served() == 20);
}

TEST_CASE("A suspected gatherer is used again after it replies") {
  AdvertFleet fleet;
  fleet.AddDomain("a", 1, 1);
  fleet.Start({"a0"});
  fleet.time.Advance(Milliseconds(6'000));
  REQUIRE(fleet.Served() == 1);
  fleet.At("a1").roster.Suspect(state::HostId("a0"), fleet.time.Now());
  CHECK(fleet.Served() == 0);
  fleet.time.Advance(Milliseconds(3'000));
  CHECK(fleet.Served() == 1);
}

TEST_CASE("Exchanges are few, fewer still where all hosts are alike") {
  AdvertFleet unequal;
  unequal.AddDomain("a", 20, 2);
  unequal.Start({"a0", "a5", "a9"});
  AdvertFleet equal;
  equal.AddDomain("a", 9, 0);
  equal.Start({"a0", "a1", "a2"});
  constexpr int kSeconds = 60;
  unequal.time.Advance(Milliseconds(kSeconds * 1'000));
  equal.time.Advance(Milliseconds(kSeconds * 1'000));
  // Two gatherers a round of a second, and now and then a seed.
  CHECK(unequal.At("a10").calls <= 3 * kSeconds);
  // Three seeds a round of some 2.5 s.
  CHECK(equal.At("a8").calls <= 2 * kSeconds);
}

TEST_CASE("A host without seeds sends nothing") {
  AdvertFleet fleet;
  fleet.AddDomain("a", 2, 0);
  fleet.Start({});
  fleet.time.Advance(Milliseconds(20'000));
  CHECK(fleet.At("a0").calls == 0);
}

// Guards against hosts that keep the advert of a lost one alive between them,
// each counting its age from when it came.
TEST_CASE("An advert grows older on its way from host to host") {
  AdvertFleet fleet;
  fleet.delay = Milliseconds(200);
  fleet.AddDomain("a", 2, 4);
  fleet.Start({"a0", "a1", "a2"});
  fleet.time.Advance(Milliseconds(8'000));
  REQUIRE(fleet.CountListing("a0") == 5);
  fleet.At("a0").is_up = false;
  // Its last request may still be on its way.
  fleet.time.Advance(GathererRoster::kLifetime + fleet.delay);
  CHECK(fleet.CountListing("a0") == 0);
}

}  // namespace
}  // namespace banyanknot::coordination::routing_testing
