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
class AdmitsEveryDomain : public DomainAdmission {
 public:
  std::optional<GateRefusal> Check(
      const state::FailureDomainId& /*domain*/) override {
    return std::nullopt;
  }
};

/// \brief Faulty policy, to check the checks: each host owns every cold slot.
class OwnsEverySlot : public ColdSlotOwnership {
 public:
  std::uint32_t OwnedSlots(const state::ServerId& /*server*/,
                           const state::FailureDomainId& /*domain*/,
                           std::uint32_t cold_slots) override {
    return cold_slots;
  }
};

/// \brief One host with its own server table and roster.
struct FleetHost {
  FleetHost(const std::string& name, const Clock& clock, OwnershipTimes times,
            bool owns_every_slot)
      : id(name),
        clock(clock),
        rendezvous(clock, roster, state::HostId(name), times),
        gate(clock, servers, domains,
             owns_every_slot ? static_cast<ColdSlotOwnership&>(every_slot)
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
  OwnsEverySlot every_slot;
  RendezvousColdSlotOwnership rendezvous;
  RecordingAuditSink audit;
  RecordingServerUpdateChannel board;
  ServerPhaseJournal journal{audit, board};
  ServerPhaseRules rules{ServerPhaseThresholds()};
  ServerBackoff backoff{random, BackoffOptions()};
  ReportedSlotLimiter slots{SlotLimits()};
  AdmitsEveryDomain domains;
  FleetServerGate gate;
  ServerUpdateReceiver receiver;
};

/// \brief Simulates several hosts and one server in fixed steps from one seed.
class ColdFleet {
 public:
  static constexpr state::Duration kStep = state::Milliseconds(5);
  static constexpr state::Duration kColdLatency = state::Milliseconds(40);
  static constexpr state::Duration kOverloadedLatency =
      state::Milliseconds(400);
  static constexpr state::Duration kWarmLatency = state::Milliseconds(10);
  static constexpr state::Duration kMaxUpdateDelay = state::Milliseconds(1'000);
  static constexpr state::Duration kMaxRosterLag = state::Milliseconds(1'500);

  ColdFleet(std::uint32_t seed, int host_count, OwnershipTimes times,
            bool owns_every_slot = false)
      : engine(seed), times(times), owns_every_slot(owns_every_slot) {
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

  /// \brief Adds a host with an empty server table; the others list it later.
  FleetHost& AddHost() {
    this->hosts.push_back(std::make_unique<FleetHost>(
        "h" + std::to_string(++this->host_number), this->clock, this->times,
        this->owns_every_slot));
    FleetHost& host = *this->hosts.back();
    host.roster.hosts = this->RunningHosts();
    this->AnnounceHosts();
    this->SendState(host);
    return host;
  }

  /// \brief Kills a host; its requests at the server still run to their end.
  void Kill(FleetHost& host) {
    host.is_running = false;
    this->AnnounceHosts();
  }

  /// \brief Pauses a host's process; the others remove it from their rosters.
  void Pause(FleetHost& host) {
    host.is_paused = true;
    this->AnnounceHosts();
  }

  /// \brief Resumes a host with its stale roster.
  void Resume(FleetHost& host) {
    host.is_paused = false;
    this->AnnounceHosts();
  }

  /// \brief Restarts the server, which is cold but reports that it is warm.
  void RestartServer() {
    ++this->instance_number;
    this->started_at = this->clock.now;
    std::vector<Work> lost_work;
    lost_work.swap(this->work);
    for (Work& item : lost_work) {
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

  /// \brief Runs until all slots of the server are in use.
  /// \returns the time that took; at least `bound` if they never were
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
  std::size_t max_cold_in_flight = 0;  ///< over all hosts
  state::TimePoint first_overload_at;  ///< cold slots exceeded
  state::TimePoint last_overload_at;

 private:
  struct Work {
    FleetHost* host = nullptr;
    ServerPermit permit;
    state::TimePoint ends_at;
    int instance = 0;
  };
  struct UpdateInTransit {
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

  /// The first running host sends its server updates to the joining host.
  void SendState(FleetHost& joining_host) {
    for (const std::unique_ptr<FleetHost>& host : this->hosts) {
      if (host.get() == &joining_host || !host->is_running) continue;
      const state::TimePoint now = this->clock.now;
      for (const ServerUpdate& update :
           CollectServerUpdates(host->servers, now)) {
        this->updates_in_transit.push_back(
            {&joining_host, state::HostId(host->id), update, now,
             now + this->RandomUpTo(kMaxUpdateDelay)});
      }
      return;
    }
  }

  /// Each host gets the new roster after a random delay of its own.
  void AnnounceHosts() {
    ++this->roster_version;
    for (const std::unique_ptr<FleetHost>& host : this->hosts) {
      if (host->is_paused) continue;
      this->announcements.push_back(
          {host.get(), this->RunningHosts(), this->roster_version,
           this->clock.now + this->RandomUpTo(kMaxRosterLag)});
    }
  }

  void Step() {
    this->clock.now += kStep;
    this->DeliverRosters();
    this->FinishWork();
    this->DeliverUpdates();
    for (const std::unique_ptr<FleetHost>& host : this->hosts) {
      if (host->is_running && !host->is_paused) this->RunHost(*host);
    }
    if (this->IsCold()) {
      this->max_cold_in_flight =
          std::max(this->max_cold_in_flight, this->work.size());
    }
  }

  void DeliverRosters() {
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
    std::vector<Work> unfinished;
    unfinished.swap(this->work);
    for (Work& item : unfinished) {
      if (item.ends_at > this->clock.now) {
        this->work.push_back(item);
      } else if (item.host->is_running && !item.host->is_paused) {
        item.host->gate.Release(item.permit, this->Reply(item.instance));
      } else if (item.host->is_running) {
        this->unread_replies.push_back(item);
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

  void DeliverUpdates() {
    for (const std::unique_ptr<FleetHost>& sender : this->hosts) {
      std::vector<ServerUpdate> server_updates;
      server_updates.swap(sender->board.server_updates);
      for (const ServerUpdate& update : server_updates)
        this->Broadcast(*sender, update);
    }
    std::vector<UpdateInTransit> in_transit;
    in_transit.swap(this->updates_in_transit);
    for (UpdateInTransit& update : in_transit) {
      if (update.due > this->clock.now || update.to->is_paused) {
        this->updates_in_transit.push_back(update);
        continue;
      }
      if (!update.to->is_running) continue;
      ServerUpdate aged = update.update;
      aged.age += this->clock.now - update.sent_at;
      update.to->receiver.OnServerUpdate(aged, update.from);
    }
  }

  void Broadcast(const FleetHost& sender, const ServerUpdate& update) {
    for (const std::unique_ptr<FleetHost>& host : this->hosts) {
      if (host.get() == &sender) continue;
      const state::TimePoint now = this->clock.now;
      this->updates_in_transit.push_back(
          {host.get(), state::HostId(sender.id), update, now,
           now + this->RandomUpTo(kMaxUpdateDelay)});
    }
  }

  /// A cold server with all cold slots in use slows down.
  state::Duration LatencyNow() const {
    if (!this->IsCold()) return kWarmLatency;
    return this->work.size() >= this->entry.cold_slots ? kOverloadedLatency
                                                       : kColdLatency;
  }

  void RunHost(FleetHost& host) {
    for (Work& item : this->unread_replies) {
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
      const bool is_overload =
          this->IsCold() && this->work.size() >= this->entry.cold_slots;
      if (is_overload) {
        if (this->first_overload_at == state::TimePoint()) {
          this->first_overload_at = this->clock.now;
        }
        this->last_overload_at = this->clock.now;
      }
      this->work.push_back({&host, state::ValueOf(permit),
                            this->clock.now + latency, this->instance_number});
    }
  }

  std::mt19937 engine;
  const OwnershipTimes times;
  const bool owns_every_slot;
  int host_number = 0;
  int roster_version = 0;
  int instance_number = 1;
  state::TimePoint started_at;
  std::vector<Work> work;
  std::vector<Work> unread_replies;
  std::vector<UpdateInTransit> updates_in_transit;
  std::vector<Announcement> announcements;
};

}  // namespace banyanknot::coordination::servers_test

#endif  // BANYANKNOT_TEST_COORDINATION_SERVERS_COLD_FLEET_H_
