#include <rapidcheck.h>

#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "coordination/fleet/support/fleet_host.h"
#include "support/seeded_property.h"

namespace banyanknot::coordination::fleet_testing {
namespace {

constexpr std::uint64_t kSeed = 20261208;
constexpr int kSequences = 60;  // in CI
constexpr std::size_t kHosts = 9;
constexpr std::size_t kDomains = 3;
constexpr int kEntries = 3;
constexpr state::Duration kSettling = state::Milliseconds(6'000);
/// The tightest of the users' bounds on a change, once trouble has ended.
constexpr state::Duration kChangeBound = state::Milliseconds(5'000);

enum class CatalogueEvent {
  kPut,
  kDeleted,
  kPlatformCut,
  kPeersCut,
  kHealed,
  kMessagesLost,
  kMessagesKept,
  kPlatformDown,
  kPlatformUp,
  kPlatformStale,
  kPlatformCurrent,
  kHostPaused,
  kHostResumed,
  kHostReplaced,
};

constexpr std::array<state::EnumName<CatalogueEvent>, 14> kCatalogueEventNames{{
    {CatalogueEvent::kPut, "put"},
    {CatalogueEvent::kDeleted, "deleted"},
    {CatalogueEvent::kPlatformCut, "platform cut"},
    {CatalogueEvent::kPeersCut, "peers cut"},
    {CatalogueEvent::kHealed, "healed"},
    {CatalogueEvent::kMessagesLost, "messages lost"},
    {CatalogueEvent::kMessagesKept, "messages kept"},
    {CatalogueEvent::kPlatformDown, "platform down"},
    {CatalogueEvent::kPlatformUp, "platform up"},
    {CatalogueEvent::kPlatformStale, "platform stale"},
    {CatalogueEvent::kPlatformCurrent, "platform current"},
    {CatalogueEvent::kHostPaused, "host paused"},
    {CatalogueEvent::kHostResumed, "host resumed"},
    {CatalogueEvent::kHostReplaced, "host replaced"},
}};

/// An event, and how long the fleet runs on after it.
struct Step {
  CatalogueEvent event = CatalogueEvent::kPut;
  std::size_t subject = 0;  ///< which entry, failure domain or host
  int ticks = 0;            ///< of 100 ms

  friend std::ostream& operator<<(std::ostream& out, const Step& step) {
    return out << state::FindName(kCatalogueEventNames, step.event) << ' '
               << step.subject << " +" << step.ticks;
  }
};

rc::Gen<Step> AnyStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::event,
                   rc::gen::map(rc::gen::inRange<std::size_t>(
                                    0, kCatalogueEventNames.size()),
                                [](std::size_t index) {
                                  return kCatalogueEventNames.at(index).value;
                                })),
      rc::gen::set(&Step::subject, rc::gen::inRange<std::size_t>(0, kHosts)),
      rc::gen::set(&Step::ticks, rc::gen::oneOf(rc::gen::inRange(0, 4),
                                                rc::gen::inRange(0, 50))));
}

/// Plays steps and checks after each that no host holds what the platform never
/// held at that revision, or goes back.
class CatalogueCheck {
 public:
  explicit CatalogueCheck(std::uint64_t seed)
      : fleet(kHosts, kDomains, seed), incarnations(kHosts, 1) {
    this->Put(0);
    this->fleet.Start();
    this->fleet.Run(kSettling);
  }

  void Play(const Step& step) {
    const std::size_t domain = step.subject % kDomains;
    switch (step.event) {
      case CatalogueEvent::kPut:
        this->Put(step.subject);
        break;
      case CatalogueEvent::kDeleted:
        this->Write(step.subject, "", [this](const std::string& key) {
          return this->fleet.platform.Delete(key);
        });
        break;
      case CatalogueEvent::kPlatformCut:
        this->fleet.CutFromPlatform(domain);
        break;
      case CatalogueEvent::kPeersCut:
        this->fleet.CutFromPeers(domain);
        break;
      case CatalogueEvent::kHealed:
        this->fleet.Heal();
        break;
      case CatalogueEvent::kMessagesLost:
        this->fleet.network.loss_permille = 300;
        break;
      case CatalogueEvent::kMessagesKept:
        this->fleet.network.loss_permille = 0;
        break;
      case CatalogueEvent::kPlatformDown:
        this->fleet.platform.SetDown(true);
        break;
      case CatalogueEvent::kPlatformUp:
        this->fleet.platform.SetDown(false);
        break;
      case CatalogueEvent::kPlatformStale:
        this->fleet.platform.Freeze();
        break;
      case CatalogueEvent::kPlatformCurrent:
        this->fleet.platform.Thaw();
        break;
      case CatalogueEvent::kHostPaused:
        this->HostAt(step.subject).SetPaused(true);
        break;
      case CatalogueEvent::kHostResumed:
        this->HostAt(step.subject).SetPaused(false);
        break;
      case CatalogueEvent::kHostReplaced:
        this->Replace(step.subject);
        break;
    }
    this->Run(step.ticks);
  }

  /// Ends all trouble; all hosts then hold what the platform does, in time.
  void Settle() {
    this->fleet.Heal();
    this->fleet.network.loss_permille = 0;
    this->fleet.platform.SetDown(false);
    this->fleet.platform.Thaw();
    for (std::size_t host = 0; host < kHosts; ++host) {
      this->HostAt(host).SetPaused(false);
    }
    const state::Duration taken = this->fleet.RunUntilAll(
        kChangeBound,
        [this](const FleetHost& host) { return this->HoldsAll(host); });
    this->CheckHeld();
    RC_ASSERT(taken <= kChangeBound);
  }

 private:
  using Version = std::pair<std::string, std::uint64_t>;  // key, revision

  /// A host is replaced at its place, so that the last ones are current.
  FleetHost& HostAt(std::size_t number) {
    return *this->fleet.hosts[this->places.at(number)];
  }

  void Put(std::size_t subject) {
    const std::string text =
        (++this->puts % 2 == 0 ? "in " : "out ") + std::to_string(this->puts);
    this->Write(subject, text, [this, &text](const std::string& key) {
      return this->fleet.platform.Put(key, text);
    });
  }

  template <typename Change>
  void Write(std::size_t subject, const std::string& text, Change change) {
    const std::string key = "domain/d" + std::to_string(subject % kEntries);
    this->texts[{key, change(key)}] = text;
    this->current[key] = text;
  }

  void Replace(std::size_t number) {
    FleetHost& lost = this->HostAt(number);
    lost.Kill();
    this->seen.erase(&lost);
    FleetHost& next = this->fleet.Add(number, number % kDomains,
                                      ++this->incarnations.at(number));
    this->places.at(number) = this->fleet.hosts.size() - 1;
    next.Start();
  }

  void Run(int ticks) {
    for (int tick = 0; tick < ticks; ++tick) {
      this->fleet.Run(state::Milliseconds(100));
      this->CheckHeld();
    }
  }

  bool IsLost(const FleetHost& host) const {
    for (const std::size_t place : this->places) {
      if (this->fleet.hosts[place].get() == &host) return false;
    }
    return true;
  }

  bool HoldsAll(const FleetHost& host) const {
    if (this->IsLost(host)) return true;
    for (const auto& [key, text] : this->current) {
      if (host.TextOf(key) != text) return false;
    }
    return true;
  }

  void CheckHeld() {
    for (const std::size_t place : this->places) {
      const FleetHost& host = *this->fleet.hosts[place];
      for (const auto& [key, text] : this->current) {
        const std::uint64_t revision = host.RevisionOf(key);
        std::uint64_t& last = this->seen[&host][key];
        RC_ASSERT(revision >= last);
        last = revision;
        if (revision == 0) continue;
        const auto written = this->texts.find({key, revision});
        RC_ASSERT(written != this->texts.end());
        RC_ASSERT(host.TextOf(key) == written->second);
      }
    }
  }

  FleetFixture fleet;
  std::vector<std::uint64_t> incarnations;
  std::vector<std::size_t> places{0, 1, 2, 3, 4, 5, 6, 7, 8};
  int puts = 0;
  std::map<Version, std::string> texts;  // all that was ever written
  std::map<std::string, std::string> current;
  std::map<const FleetHost*, std::map<std::string, std::uint64_t>> seen;
};

// Guards against an entry that goes back, is a mixture of versions, or doesn't
// reach a host that hears of changes from the platform and from peers.
TEST_CASE(
    "Each entry of a host is one that the platform held, and the newest") {
  testing::CheckSeeded(kSeed, kSequences, [] {
    CatalogueCheck check(*rc::gen::inRange<std::uint64_t>(1, 1'000));
    for (const Step& step : *rc::gen::container<std::vector<Step>>(AnyStep())) {
      check.Play(step);
    }
    check.Settle();
  });
}

}  // namespace
}  // namespace banyanknot::coordination::fleet_testing
