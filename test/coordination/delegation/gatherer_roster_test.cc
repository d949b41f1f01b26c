#include "banyanknot/coordination/delegation/gatherer_roster.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

namespace banyanknot::coordination {
namespace {

using state::Milliseconds;

state::HostAdvert Advert(const std::string& id, double cores,
                         const std::string& domain = "a") {
  state::HostAdvert advert;
  advert.id = state::HostId(id);
  advert.domain = state::FailureDomainId(domain);
  advert.endpoint = {"10.0.0.1", 80};
  advert.cores = cores;
  advert.takes_work = true;
  return advert;
}

const state::TimePoint kStart{Milliseconds(100'000)};

std::string PickFor(const GathererRoster& roster, state::TimePoint now) {
  const std::optional<state::HostAdvert> picked = roster.PickGatherer(now);
  return picked ? picked->id.Text() : "";
}

TEST_CASE("Only hosts with twice the room in the same domain gather") {
  GathererRoster roster(Advert("own", 0.12));
  CHECK(PickFor(roster, kStart).empty());
  roster.Hear(Advert("equal", 0.12), kStart);
  roster.Hear(Advert("little-more", 0.2), kStart);
  roster.Hear(Advert("elsewhere", 0.5, "b"), kStart);
  CHECK(PickFor(roster, kStart).empty());
  roster.Hear(Advert("roomy", 0.5), kStart);
  CHECK(PickFor(roster, kStart) == "roomy");
  GathererRoster roomy(Advert("roomy", 0.5));
  roomy.Hear(Advert("own", 0.12), kStart);
  roomy.Hear(Advert("other-roomy", 0.5), kStart);
  CHECK(PickFor(roomy, kStart).empty());
}

TEST_CASE("A host that takes no work gathers for nobody") {
  GathererRoster roster(Advert("own", 0.12));
  state::HostAdvert stopping = Advert("roomy", 0.5);
  roster.Hear(stopping, kStart);
  stopping.takes_work = false;
  roster.Hear(stopping, kStart + Milliseconds(10));
  CHECK(PickFor(roster, kStart + Milliseconds(10)).empty());
}

TEST_CASE("An advert lapses and an older one changes nothing") {
  GathererRoster roster(Advert("own", 0.12));
  state::HostAdvert old = Advert("roomy", 0.5);
  old.takes_work = false;
  old.age = Milliseconds(3'000);
  roster.Hear(Advert("roomy", 0.5), kStart);
  roster.Hear(old, kStart + Milliseconds(100));
  CHECK(PickFor(roster, kStart + Milliseconds(100)) == "roomy");
  CHECK(PickFor(roster, kStart + Milliseconds(4'999)) == "roomy");
  CHECK(PickFor(roster, kStart + Milliseconds(5'000)).empty());
  // Passing an advert on doesn't make it younger.
  state::HostAdvert aged = Advert("roomy", 0.5);
  aged.age = Milliseconds(4'900);
  roster.Hear(aged, kStart + Milliseconds(6'000));
  CHECK(PickFor(roster, kStart + Milliseconds(6'200)).empty());
}

TEST_CASE("A suspected host is left out until it replies to a later request") {
  GathererRoster roster(Advert("own", 0.12));
  roster.Hear(Advert("one", 0.5), kStart);
  roster.Hear(Advert("two", 0.5), kStart);
  const std::string first = PickFor(roster, kStart);
  roster.Suspect(state::HostId(first), kStart + Milliseconds(10));
  const std::string second = PickFor(roster, kStart + Milliseconds(10));
  CHECK(!second.empty());
  CHECK(second != first);
  roster.Clear(state::HostId(first), kStart);  // replied to an earlier one
  CHECK(PickFor(roster, kStart + Milliseconds(20)) == second);
  roster.Clear(state::HostId(first), kStart + Milliseconds(15));
  CHECK(PickFor(roster, kStart + Milliseconds(20)) == first);
}

TEST_CASE("Hosts spread over the gatherers and keep theirs") {
  std::map<std::string, int> chosen;
  for (int index = 0; index < 200; ++index) {
    GathererRoster roster(Advert("front-" + std::to_string(index), 0.12));
    for (const char* id : {"one", "two", "three"}) {
      roster.Hear(Advert(id, 0.5), kStart);
    }
    const std::string picked = PickFor(roster, kStart);
    ++chosen[picked];
    // One that others use may go without a change of this host's choice.
    for (const char* id : {"one", "two", "three"}) {
      if (picked == id) continue;
      roster.Suspect(state::HostId(id), kStart);
      CHECK(PickFor(roster, kStart) == picked);
      break;
    }
  }
  REQUIRE(chosen.size() == 3);
  for (const auto& [id, count] : chosen) CHECK(count > 40);
}

TEST_CASE("The roster keeps the roomiest hosts and a bounded number") {
  GathererRoster roster(Advert("own", 0.12));
  for (int index = 0; index < 500; ++index) {
    roster.Hear(Advert("small-" + std::to_string(index), 0.12), kStart);
    roster.Hear(Advert("far", 0.12, "domain-" + std::to_string(index)), kStart);
  }
  roster.Hear(Advert("roomy", 0.5), kStart);
  CHECK(PickFor(roster, kStart) == "roomy");
  const state::FailureDomainId own_domain("a");
  CHECK(roster.Adverts(own_domain, true, kStart).size() ==
        1 + GathererRoster::kMaxPerDomain);
  std::size_t domains = 0;
  for (int index = 0; index < 500; ++index) {
    const state::FailureDomainId domain("domain-" + std::to_string(index));
    domains += roster.Adverts(domain, true, kStart).size();
  }
  CHECK(domains <= GathererRoster::kMaxDomains);
}

}  // namespace
}  // namespace banyanknot::coordination
