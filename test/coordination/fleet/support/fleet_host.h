#ifndef BANYANKNOT_TEST_COORDINATION_FLEET_SUPPORT_FLEET_HOST_H_
#define BANYANKNOT_TEST_COORDINATION_FLEET_SUPPORT_FLEET_HOST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "banyanknot/Coordination"
#include "banyanknot/State"
#include "coordination/fleet/support/fake_network.h"
#include "coordination/fleet/support/fake_platform.h"
#include "coordination/fleet/support/line_entry_decoder.h"
#include "coordination/fleet/support/virtual_time.h"
#include "coordination/support/recording_audit_sink.h"

namespace banyanknot::coordination::fleet_testing {

/// \brief Timers of one host; those due during a pause run when it ends.
class PausableTimers : public TimerService {
 public:
  explicit PausableTimers(VirtualTime& time) : time(time) {}

  void RunAt(state::TimePoint when, std::function<void()> function) override {
    this->time.RunAt(when, [this, function = std::move(function)] {
      if (this->is_stopped) return;
      if (this->is_paused) {
        this->deferred.push_back(function);
      } else {
        function();
      }
    });
  }

  void SetPaused(bool paused) {
    this->is_paused = paused;
    if (paused) return;
    std::vector<std::function<void()>> due;
    due.swap(this->deferred);
    for (const std::function<void()>& function : due) function();
  }
  void Stop() { this->is_stopped = true; }

 private:
  VirtualTime& time;
  bool is_paused = false;
  bool is_stopped = false;
  std::vector<std::function<void()>> deferred;
};

/// \brief The fleet components of one host, wired as in the daemon.
class FleetHost {
 public:
  FleetHost(VirtualTime& time, FakeNetwork& network, FakePlatform& platform,
            const state::HostIdentity& identity,
            std::vector<state::Endpoint> seeds, std::uint64_t seed)
      : identity(identity),
        network(network),
        timers(time),
        random(seed),
        link(network, identity),
        client(platform, time, timers, identity.self.peer),
        view(identity, hosts),
        selector(view, random),
        budget(time, RateLimits()),
        keeper(catalogue, decoder, audit),
        anti_entropy(time, view, selector, link, catalogue, keeper, contacts,
                     budget),
        server_updates(time, view, selector, link, budget),
        registry(identity, time, hosts, audit),
        membership(view, std::move(seeds), time, timers, random, selector, link,
                   registry, anti_entropy, server_updates, contacts, budget),
        list(time, timers, random, client, registry),
        follower(time, timers, random, client, anti_entropy, catalogue, view,
                 contacts),
        guard(time, timers, view, contacts, {&membership, &follower}, audit) {}

  void Start() {
    this->network.Attach(
        this->identity.self.peer,
        {&this->membership, &this->anti_entropy, &this->server_updates});
    this->membership.Start();
    this->list.Start();
    this->follower.Start();
    this->guard.Start();
  }

  void SetPaused(bool paused) {
    if (paused) {
      this->network.SetPaused(this->identity.self.peer, true);
      this->timers.SetPaused(true);
    } else {
      this->timers.SetPaused(false);
      this->network.SetPaused(this->identity.self.peer, false);
    }
  }

  /// \brief Stops the host without a goodbye, as when its machine fails.
  void Kill() {
    this->timers.Stop();
    this->network.Detach(this->identity.self.peer);
  }

  std::string TextOf(const std::string& key) const {
    const std::optional<state::CatalogueRecord> record =
        this->catalogue.Find(key);
    return !record || record->IsTombstone() ? "" : *record->text;
  }
  std::uint64_t RevisionOf(const std::string& key) const {
    const std::optional<state::CatalogueRecord> record =
        this->catalogue.Find(key);
    return record ? record->revision : 0;
  }
  state::HostState StateOf(const FleetHost& other) const {
    const std::optional<state::HostRecord> record =
        this->hosts.Find(other.identity.self.id);
    return record ? record->host_state : state::HostState::kDead;
  }

  const state::HostIdentity identity;
  FakeNetwork& network;
  PausableTimers timers;
  SeededRandomSource random;
  FakePeerLink link;
  FakePlatformClient client;
  state::HostTable hosts;
  state::CatalogueTable catalogue;
  RecordingAuditSink audit;
  ContactLog contacts;
  TableMembershipView view;
  PeerSelector selector;
  RateBudget budget;
  LineEntryDecoder decoder;
  CatalogueUpdater keeper;
  CatalogueAntiEntropy anti_entropy;
  GossipServerUpdateChannel server_updates;
  HostRegistry registry;
  Membership membership;
  HostListFollower list;
  SparseCatalogueFollower follower;
  PauseDetector guard;
};

/// \brief A fleet of hosts in failure domains on one network and platform.
///
/// Host number n has address 10.D.0.1 for its failure domain D.
class FleetFixture {
 public:
  FleetFixture(std::size_t host_count, std::size_t domain_count,
               std::uint64_t seed)
      : network(time, seed), platform(time), seed(seed) {
    for (std::size_t index = 0; index < host_count; ++index) {
      this->Add(index, index % domain_count, 1);
    }
    for (const std::unique_ptr<FleetHost>& host : this->hosts) {
      this->platform.hosts.push_back(host->identity.self);
    }
  }

  FleetHost& Add(std::size_t number, std::size_t domain,
                 std::uint64_t incarnation) {
    state::HostIdentity identity;
    identity.self.id = state::HostId("h" + std::to_string(number));
    identity.self.domain = state::FailureDomainId("d" + std::to_string(domain));
    identity.self.peer = {"10." + std::to_string(domain) + ".0.1",
                          static_cast<std::uint16_t>(7'000 + number)};
    identity.self.caller = {identity.self.peer.address, 80};
    identity.incarnation = incarnation;
    std::vector<state::Endpoint> seeds;
    for (std::size_t index = 0; index < 3 && index < this->hosts.size();
         ++index) {
      seeds.push_back(this->hosts[index]->identity.self.peer);
    }
    this->hosts.push_back(std::make_unique<FleetHost>(
        this->time, this->network, this->platform, identity, seeds,
        this->seed * 1'000 + this->hosts.size()));
    return *this->hosts.back();
  }

  void Start() {
    for (const std::unique_ptr<FleetHost>& host : this->hosts) host->Start();
  }

  void Run(state::Duration duration) { this->time.Advance(duration); }

  /// \brief Runs in steps until `condition` holds for every host.
  /// \returns the time it took; more than `bound` if it did not hold in time
  template <typename Condition>
  state::Duration RunUntilAll(state::Duration bound, Condition condition) {
    constexpr state::Duration kStep = state::Milliseconds(10);
    state::Duration taken{0};
    while (taken <= bound) {
      bool holds = true;
      for (const std::unique_ptr<FleetHost>& host : this->hosts) {
        holds = holds && condition(*host);
      }
      if (holds) return taken;
      this->time.Advance(kStep);
      taken += kStep;
    }
    return taken;
  }

  /// \brief Partitions failure domain `domain` from the platform.
  void CutFromPlatform(std::size_t domain) {
    const std::string address = "10." + std::to_string(domain) + ".0.1";
    this->platform.is_cut = [address](const state::Endpoint& from) {
      return from.address == address;
    };
  }
  /// \brief Partitions failure domain `domain` from all others.
  void CutFromPeers(std::size_t domain) {
    const std::string address = "10." + std::to_string(domain) + ".0.1";
    this->network.is_cut = [address](const state::Endpoint& from,
                                     const state::Endpoint& to) {
      return (from.address == address) != (to.address == address);
    };
  }
  void Heal() {
    this->platform.is_cut = nullptr;
    this->network.is_cut = nullptr;
  }

  VirtualTime time;
  FakeNetwork network;
  FakePlatform platform;
  const std::uint64_t seed;
  std::vector<std::unique_ptr<FleetHost>> hosts;
};

}  // namespace banyanknot::coordination::fleet_testing

#endif  // BANYANKNOT_TEST_COORDINATION_FLEET_SUPPORT_FLEET_HOST_H_
