#ifndef BANYANKNOT_TEST_COORDINATION_SERVERS_COLD_FLEET_H_
#define BANYANKNOT_TEST_COORDINATION_SERVERS_COLD_FLEET_H_

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "banyanknot/Coordination"
#include "banyanknot/State"
#include "coordination/servers/fakes.h"

namespace banyanknot::coordination::servers_test {

/// \brief Admits every failure domain.
class OpenDomains : public DomainAdmission {
 public:
  std::optional<GateRefusal> Check(
      const state::FailureDomainId& /*domain*/) override {
    return std::nullopt;
  }
};

/// \brief Breaks the policy on purpose: each host owns every cold slot.
class GreedyOwnership : public ColdSlotOwnership {
 public:
  std::uint32_t OwnedSlots(const state::ServerId& /*server*/,
                           const state::FailureDomainId& /*domain*/,
                           std::uint32_t cold_slots) override {
    return cold_slots;
  }
};

/// \brief One host's decisions about one server, with its own view.
struct FleetHost {
  FleetHost(const std::string& name, const Clock& clock, OwnershipTimes times,
            bool is_greedy)
      : id(name),
        clock(clock),
        rendezvous(clock, roster, state::HostId(name), times),
        gate(clock, servers, domains,
             is_greedy ? static_cast<ColdSlotOwnership&>(greedy)
                       : static_cast<ColdSlotOwnership&>(rendezvous),
             slots, backoff, rules, journal),
        receiver(clock, servers, rules, journal) {}

  const std::string id;
  const Clock& clock;
  bool is_running = true;
  bool is_paused = false;
  int roster_version = 0;
  SeededRandomSource random{11};
  state::ServerTable servers;
  FixedRoster roster;
  GreedyOwnership greedy;
  RendezvousColdSlotOwnership rendezvous;
  RecordingAuditSink audit;
  RecordingNoteBoard board;
  ServerPhaseJournal journal{audit, board};
  ServerPhaseRules rules{ServerPhaseBounds()};
  ServerBackoff backoff{random, BackoffTimes()};
  ReportedSlotLimiter slots{SlotLimits()};
  OpenDomains domains;
  FleetServerGate gate;
  ServerNoteReceiver receiver;
};

/// \brief Several hosts around one server, stepped by hand from one seed.
class ColdFleet {
 public:
  static constexpr state::Duration kStep = state::Milliseconds(5);
  static constexpr state::Duration kColdLatency = state::Milliseconds(40);
  static constexpr state::Duration kStrainedLatency = state::Milliseconds(400);
  static constexpr state::Duration kWarmLatency = state::Milliseconds(10);
  static constexpr state::Duration kMaxServerUpdateDelay =
      state::Milliseconds(1'000);
  static constexpr state::Duration kLongestListLag = state::Milliseconds(1'500);

  ColdFleet(std::uint32_t seed, int host_count, OwnershipTimes times,
            bool is_greedy = false)
      : engine(seed), times(times), is_greedy(is_greedy) {
    this->clock.now += state::Milliseconds(1'000'000);
    this->entry.id = state::ServerId("s1");
    this->entry.domain = state::FailureDomainId("a");
    this->entry.slots = 4;
    this->entry.cold_slots = 2;
    this->entry.warm_up = state::Milliseconds(10'000);
    for (int index = 0; index < host_count; ++index) this->AddHost();
    this->announcements.clear();
    for (const std::unique_ptr<FleetHost>& host : this->hosts) {
      host->roster.hosts = this->RunningHosts();
    }
    this->started_at = this->clock.now - this->entry.warm_up;
  }

  /// \brief Adds a host with an empty memory; the others learn of it late.
  FleetHost& AddHost() {
    this->hosts.push_back(
        std::make_unique<FleetHost>("h" + std::to_string(++this->host_number),
                                    this->clock, this->times, this->is_greedy));
    FleetHost& host = *this->hosts.back();
    host.roster.hosts = this->RunningHosts();
    this->AnnounceHosts();
    this->Brief(host);
    return host;
  }

  /// \brief Kills a host; its work at the server goes on to its end.
  void Kill(FleetHost& host) {
    host.is_running = false;
    this->AnnounceHosts();
  }

  /// \brief Stops a host's process; the others list it no more.
  void Pause(FleetHost& host) {
    host.is_paused = true;
    this->AnnounceHosts();
  }

  /// \brief Lets a host go on; it still believes what it knew.
  void Resume(FleetHost& host) {
    host.is_paused = false;
    this->AnnounceHosts();
  }

  /// \brief Restarts the server, cold; it says that it is warm all the same.
  void RestartServer() {
    ++this->instance_number;
    this->started_at = this->clock.now;
    std::vector<Work> lost;
    lost.swap(this->work);
    for (Work& item : lost) {
      if (!item.host->is_running) continue;
      item.host->gate.Release(item.permit, BackendFailure::kLost);
    }
    for (const std::unique_ptr<FleetHost>& host : this->hosts) {
      if (!host->is_running) continue;
      host->gate.OnClosedByServer(this->entry.id, state::Milliseconds(1));
    }
  }

  void Run(state::Duration duration) {
    const state::TimePoint end = this->clock.now + duration;
    while (this->clock.now < end) this->Step();
  }

  /// \brief Runs until the server works on all its slots.
  /// \returns how long that took; `bound` if it did not
  state::Duration RunUntilFull(state::Duration bound) {
    const state::TimePoint begin = this->clock.now;
    while (this->clock.now - begin < bound) {
      this->Step();
      if (this->work.size() >= this->entry.slots) break;
    }
    return this->clock.now - begin;
  }

  bool IsCold() const {
    return this->clock.now - this->started_at < this->entry.warm_up;
  }

  std::size_t WarmHosts() const {
    std::size_t warm = 0;
    for (const std::unique_ptr<FleetHost>& host : this->hosts) {
      const std::optional<state::ServerRecord> record =
          host->servers.Find(this->entry.id);
      if (host->is_running && record &&
          record->phase == state::ServerPhase::kWarm) {
        ++warm;
      }
    }
    return warm;
  }

  FakeClock clock;
  state::ServerEntry entry;
  std::vector<std::unique_ptr<FleetHost>> hosts;
  std::size_t most_cold_work = 0;     ///< at once, while the server was cold
  state::TimePoint first_overrun_at;  ///< a cold server got more than it bears
  state::TimePoint last_overrun_at;

 private:
  struct Work {
    FleetHost* host = nullptr;
    ServerPermit permit;
    state::TimePoint ends_at;
    int instance = 0;
  };
  struct Parcel {
    FleetHost* to = nullptr;
    state::HostId from;
    ServerUpdate update;
    state::TimePoint sent_at;
    state::TimePoint due;
  };
  struct Announcement {
    FleetHost* to = nullptr;
    std::vector<state::HostId> hosts;
    int version = 0;
    state::TimePoint due;
  };

  std::vector<state::HostId> RunningHosts() const {
    std::vector<state::HostId> running;
    for (const std::unique_ptr<FleetHost>& host : this->hosts) {
      if (host->is_running && !host->is_paused) running.emplace_back(host->id);
    }
    return running;
  }

  state::Duration RandomUpTo(state::Duration bound) {
    return state::Duration(std::uniform_int_distribution<std::int64_t>(
        0, bound.count())(this->engine));
  }

  /// The first host that runs tells a newcomer what it knows.
  void Brief(FleetHost& newcomer) {
    for (const std::unique_ptr<FleetHost>& host : this->hosts) {
      if (host.get() == &newcomer || !host->is_running) continue;
      const state::TimePoint now = this->clock.now;
      for (const ServerUpdate& update : ServerUpdatesOf(host->servers, now)) {
        this->parcels.push_back(
            {&newcomer, state::HostId(host->id), update, now,
             now + this->RandomUpTo(kMaxServerUpdateDelay)});
      }
      return;
    }
  }

  /// Each host learns of the present hosts at a moment of its own.
  void AnnounceHosts() {
    ++this->roster_version;
    for (const std::unique_ptr<FleetHost>& host : this->hosts) {
      if (host->is_paused) continue;
      this->announcements.push_back(
          {host.get(), this->RunningHosts(), this->roster_version,
           this->clock.now + this->RandomUpTo(kLongestListLag)});
    }
  }

  void Step() {
    this->clock.now += kStep;
    this->DeliverLists();
    this->FinishWork();
    this->DeliverServerUpdates();
    for (const std::unique_ptr<FleetHost>& host : this->hosts) {
      if (host->is_running && !host->is_paused) this->Drive(*host);
    }
    if (this->IsCold()) {
      this->most_cold_work = std::max(this->most_cold_work, this->work.size());
    }
  }

  void DeliverLists() {
    for (Announcement& item : this->announcements) {
      if (item.to == nullptr || item.due > this->clock.now) continue;
      if (item.version > item.to->roster_version) {
        item.to->roster.hosts = item.hosts;
        item.to->roster_version = item.version;
      }
      item.to = nullptr;
    }
  }

  void FinishWork() {
    std::vector<Work> going;
    going.swap(this->work);
    for (Work& item : going) {
      if (item.ends_at > this->clock.now) {
        this->work.push_back(item);
      } else if (item.host->is_running && !item.host->is_paused) {
        item.host->gate.Release(item.permit, this->Reply(item.instance));
      } else if (item.host->is_running) {
        this->unread.push_back(item);
      }
    }
  }

  state::SubReply Reply(int instance) const {
    state::SubReply reply;
    reply.status = state::ReplyStatus::kOk;
    reply.report.instance = state::InstanceId("i" + std::to_string(instance));
    reply.report.warm = true;
    reply.report.running = static_cast<std::uint32_t>(this->work.size());
    return reply;
  }

  void DeliverServerUpdates() {
    for (const std::unique_ptr<FleetHost>& sender : this->hosts) {
      std::vector<ServerUpdate> server_updates;
      server_updates.swap(sender->board.server_updates);
      for (const ServerUpdate& update : server_updates)
        this->Post(*sender, update);
    }
    std::vector<Parcel> carried;
    carried.swap(this->parcels);
    for (Parcel& parcel : carried) {
      if (parcel.due > this->clock.now || parcel.to->is_paused) {
        this->parcels.push_back(parcel);
        continue;
      }
      if (!parcel.to->is_running) continue;
      ServerUpdate update = parcel.update;
      update.age += this->clock.now - parcel.sent_at;
      parcel.to->receiver.OnServerUpdate(update, parcel.from);
    }
  }

  void Post(const FleetHost& sender, const ServerUpdate& update) {
    for (const std::unique_ptr<FleetHost>& host : this->hosts) {
      if (host.get() == &sender) continue;
      const state::TimePoint now = this->clock.now;
      this->parcels.push_back({host.get(), state::HostId(sender.id), update,
                               now,
                               now + this->RandomUpTo(kMaxServerUpdateDelay)});
    }
  }

  /// A cold server that has more than it bears slows down.
  state::Duration LatencyNow() const {
    if (!this->IsCold()) return kWarmLatency;
    return this->work.size() >= this->entry.cold_slots ? kStrainedLatency
                                                       : kColdLatency;
  }

  void Drive(FleetHost& host) {
    for (Work& item : this->unread) {
      if (item.host != &host) continue;
      host.gate.Release(item.permit, this->Reply(item.instance));
      item.host = nullptr;
    }
    host.rendezvous.Observe({this->entry.domain});
    for (int attempt = 0; attempt < 2; ++attempt) {
      const PermitResult permit =
          host.gate.Acquire(this->entry, WorkKind::kFirst);
      if (!state::IsOk(permit)) return;
      const state::Duration latency = this->LatencyNow();
      const bool is_overrun =
          this->IsCold() && this->work.size() >= this->entry.cold_slots;
      if (is_overrun) {
        if (this->first_overrun_at == state::TimePoint()) {
          this->first_overrun_at = this->clock.now;
        }
        this->last_overrun_at = this->clock.now;
      }
      this->work.push_back({&host, state::ValueOf(permit),
                            this->clock.now + latency, this->instance_number});
    }
  }

  std::mt19937 engine;
  const OwnershipTimes times;
  const bool is_greedy;
  int host_number = 0;
  int roster_version = 0;
  int instance_number = 1;
  state::TimePoint started_at;
  std::vector<Work> work;
  std::vector<Work> unread;
  std::vector<Parcel> parcels;
  std::vector<Announcement> announcements;
};

}  // namespace banyanknot::coordination::servers_test

#endif  // BANYANKNOT_TEST_COORDINATION_SERVERS_COLD_FLEET_H_
