#include <rapidcheck.h>

#include <array>
#include <catch2/catch.hpp>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "coordination/delegation/sharing_fleet.h"
#include "support/seeded_property.h"

namespace banyanknot::coordination::routing_testing {
namespace {

constexpr std::uint64_t kSeed = 20261207;
constexpr int kSequences = 250;  // in CI
constexpr int kHosts = 7;
constexpr int kServers = 3;
/// Longest wait at the source, and the time of a response: a response may be
/// that old when it comes.
constexpr state::Duration kCallTime = Milliseconds(4'500 + 1'000);
/// Longer than a deferred return of a failure domain to service.
constexpr state::Duration kSettling = Milliseconds(15'000);

enum class FleetEvent {
  kRoutes,
  kServerReady,
  kServerLeaving,
  kServerRemoved,
  kDomainOut,
  kDomainIn,
  kHostLost,
  kHostRestarted,
  kHostRestartedRefused,
  kSourceRefuses,
  kSourceServes,
  kHostCut,
  kHostReached,
  kHostPaused,
  kHostResumed,
  kSourceDown,
  kSourceUp,
  kSourceReturns,
  kHistoryDropped,
};

constexpr std::array<state::EnumName<FleetEvent>, 19> kFleetEventNames{{
    {FleetEvent::kRoutes, "routes"},
    {FleetEvent::kServerReady, "server ready"},
    {FleetEvent::kServerLeaving, "server leaving"},
    {FleetEvent::kServerRemoved, "server removed"},
    {FleetEvent::kDomainOut, "domain out"},
    {FleetEvent::kDomainIn, "domain in"},
    {FleetEvent::kHostLost, "host lost"},
    {FleetEvent::kHostRestarted, "host restarted"},
    {FleetEvent::kHostRestartedRefused, "host restarted and refused"},
    {FleetEvent::kSourceRefuses, "source refuses"},
    {FleetEvent::kSourceServes, "source serves"},
    {FleetEvent::kHostCut, "host cut"},
    {FleetEvent::kHostReached, "host reached"},
    {FleetEvent::kHostPaused, "host paused"},
    {FleetEvent::kHostResumed, "host resumed"},
    {FleetEvent::kSourceDown, "source down"},
    {FleetEvent::kSourceUp, "source up"},
    {FleetEvent::kSourceReturns, "source returns"},
    {FleetEvent::kHistoryDropped, "history dropped"},
}};

/// An event, and how long the fleet runs on after it.
struct Step {
  FleetEvent event = FleetEvent::kRoutes;
  int subject = 0;  ///< which host, server or domain
  int ticks = 0;    ///< of 100 ms

  friend std::ostream& operator<<(std::ostream& out, const Step& step) {
    return out << state::FindName(kFleetEventNames, step.event) << ' '
               << step.subject << " +" << step.ticks;
  }
};

rc::Gen<Step> AnyStep() {
  return rc::gen::build<Step>(
      rc::gen::set(&Step::event,
                   rc::gen::map(rc::gen::inRange<std::size_t>(
                                    0, kFleetEventNames.size()),
                                [](std::size_t index) {
                                  return kFleetEventNames.at(index).value;
                                })),
      rc::gen::set(&Step::subject, rc::gen::inRange(0, kHosts)),
      rc::gen::set(&Step::ticks, rc::gen::oneOf(rc::gen::inRange(0, 4),
                                                rc::gen::inRange(0, 60))));
}

/// Plays steps and checks after each that what hosts pass on is what the source
/// held at the position that they name.
class PassedChangesCheck {
 public:
  PassedChangesCheck() {
    this->fleet.Publish(LogDecoder::kRoutesKey, "1");
    this->fleet.Start();
    this->Run(20);
  }

  void Play(const Step& step) {
    const std::string host = "h" + std::to_string(step.subject);
    const std::string server =
        LogDecoder::kServerPrefix + std::to_string(step.subject % kServers);
    const std::string domain = "d" + std::to_string(step.subject % kServers);
    switch (step.event) {
      case FleetEvent::kRoutes:
        this->fleet.Publish(LogDecoder::kRoutesKey,
                            std::to_string(++this->routes_version));
        break;
      case FleetEvent::kServerReady:
        this->fleet.Publish(server, "ready");
        break;
      case FleetEvent::kServerLeaving:
        this->fleet.Publish(server, LogDecoder::kLeaving);
        break;
      case FleetEvent::kServerRemoved:
        this->fleet.Withdraw(server);
        break;
      case FleetEvent::kDomainOut:
        this->fleet.Publish(domain, "out");
        break;
      case FleetEvent::kDomainIn:
        this->fleet.Withdraw(domain);
        break;
      case FleetEvent::kHostLost:
        this->fleet.Lose(host);
        break;
      case FleetEvent::kHostRestarted:
        this->fleet.Restart(host, this->is_source_up);
        break;
      case FleetEvent::kHostRestartedRefused:
        this->fleet.Restart(host, false);
        break;
      case FleetEvent::kSourceRefuses:
        this->fleet.At(host).source.is_up = false;
        break;
      case FleetEvent::kSourceServes:
        this->fleet.At(host).source.is_up = this->is_source_up;
        break;
      case FleetEvent::kHostCut:
        this->fleet.At(host).is_up = false;
        break;
      case FleetEvent::kHostReached:
        this->fleet.At(host).is_up = true;
        break;
      case FleetEvent::kHostPaused:
        this->fleet.At(host).timers.Pause();
        break;
      case FleetEvent::kHostResumed:
        this->fleet.At(host).timers.Resume();
        break;
      case FleetEvent::kSourceDown:
      case FleetEvent::kSourceUp:
        this->is_source_up = step.event == FleetEvent::kSourceUp;
        this->fleet.SetSourceUp(this->is_source_up);
        break;
      case FleetEvent::kSourceReturns:
        this->ReturnFromCopy(step.subject);
        break;
      case FleetEvent::kHistoryDropped:
        this->fleet.DropHistory();
        break;
    }
    this->CheckPassedChanges();
    this->Run(step.ticks);
  }

  /// Ends all trouble; all hosts then hold what the source does.
  void Settle() {
    this->fleet.SetSourceUp(true);
    for (const auto& [id, host] : this->fleet.Hosts()) {
      host->is_up = true;
      host->timers.Resume();
      if (host->timers.IsLost()) this->fleet.Restart(id, true);
    }
    this->fleet.Advance(kSettling);
    this->CheckPassedChanges();
    for (const auto& [id, host] : this->fleet.Hosts()) this->CheckHeld(*host);
  }

 private:
  void Run(int ticks) {
    for (int tick = 0; tick < ticks; ++tick) {
      this->fleet.Advance(Milliseconds(100));
      this->CheckPassedChanges();
    }
  }

  void ReturnFromCopy(int lost_changes) {
    const state::SourcePosition position = this->fleet.log.Position();
    std::uint64_t copied = position.revision;
    while (lost_changes-- > 0 &&
           this->fleet.log.At({copied - 1, position.era}) != nullptr) {
      --copied;
    }
    this->fleet.ReturnFromCopy(copied);
  }

  void CheckPassedChanges() {
    for (const auto& [id, host] : this->fleet.Hosts()) {
      if (host->timers.IsRunning()) this->CheckHistory(host->history);
    }
  }

  static PublishedLog::Content Apply(PublishedLog::Content content,
                                     const PassedChanges& passed) {
    for (const EncodedChange& change : passed.changes) {
      content.erase(change.key);
      if (!change.is_removal) content[change.key] = change.text;
    }
    return content;
  }

  void CheckHistory(const ChangeHistory& history) {
    const state::TimePoint now = this->fleet.time.Now();
    const PassedChanges snapshot = history.Snapshot(now);
    if (!snapshot.is_snapshot) return;
    const PublishedLog::Content* held = this->fleet.log.At(snapshot.position);
    RC_ASSERT(held != nullptr);
    RC_ASSERT(Apply({}, snapshot) == *held);
    if (snapshot.age < ChangeHistory::kUnconfirmedAge) {
      RC_ASSERT(snapshot.position >=
                this->fleet.log.PositionAt(now - snapshot.age - kCallTime));
    }
    for (std::uint64_t before = 1; before <= snapshot.position.revision;
         ++before) {
      const state::SourcePosition after{before, snapshot.position.era};
      const PublishedLog::Content* base = this->fleet.log.At(after);
      const PassedChanges passed = history.After(after, now);
      if (base == nullptr || passed.is_history_gone) continue;
      RC_ASSERT(passed.position == snapshot.position);
      RC_ASSERT(Apply(*base, passed) == *held);
    }
  }

  void CheckHeld(const SharingFleet::Host& host) {
    std::set<std::string> servers;
    std::set<std::string> domains;
    std::uint64_t version = 0;
    const std::string prefix = LogDecoder::kServerPrefix;
    for (const auto& [key, text] : this->fleet.log.Current()) {
      if (key == LogDecoder::kRoutesKey) {
        version = std::stoull(text);
      } else if (key.compare(0, prefix.size(), prefix) == 0) {
        servers.insert(key.substr(prefix.size()));
      } else {
        domains.insert(key);
      }
    }
    std::set<std::string> held_servers;
    for (const state::InstanceId& id : host.fixture.servers.Ids()) {
      held_servers.insert(id.Text());
    }
    std::set<std::string> held_domains;
    for (const state::FailureDomainId& id : host.fixture.servers.DomainsOut()) {
      held_domains.insert(id.Text());
    }
    RC_ASSERT(held_servers == servers);
    RC_ASSERT(held_domains == domains);
    // A version that the source has lost stays in force.
    const state::RouteTablePtr table = host.fixture.routes.Current();
    const std::uint64_t held_version = table == nullptr ? 0 : table->Version();
    RC_ASSERT(held_version >= version);
  }

  SharingFleet fleet{kHosts};
  std::uint64_t routes_version = 1;
  bool is_source_up = true;
};

// Guards against hosts that pass on a mixture of what they heard themselves and
// what they heard from others, under a position at which the source never held
// it.
TEST_CASE("Hosts pass on what the source held at the position that they name") {
  testing::CheckSeeded(kSeed, kSequences, [] {
    PassedChangesCheck check;
    for (const Step& step : *rc::gen::container<std::vector<Step>>(AnyStep())) {
      check.Play(step);
    }
    check.Settle();
  });
}

}  // namespace
}  // namespace banyanknot::coordination::routing_testing
