#ifndef BANYANKNOT_TEST_COORDINATION_SERVERS_GATE_FIXTURE_H_
#define BANYANKNOT_TEST_COORDINATION_SERVERS_GATE_FIXTURE_H_

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "banyanknot/Coordination"
#include "banyanknot/State"
#include "coordination/servers/fakes.h"

namespace banyanknot::coordination::servers_test {

/// \brief One host's gate and one server; the test moves the clock.
struct GateFixture {
  GateFixture() {
    this->clock.now += state::Milliseconds(1'000);
    this->server.id = state::ServerId("s1");
    this->server.domain = state::FailureDomainId("a");
    this->server.slots = 2;
    this->server.cold_slots = 1;
    this->server.warm_up = state::Milliseconds(10'000);
    this->PutService();
    this->reconciler.RunOnce();
  }

  PermitResult Acquire(WorkKind kind) {
    return this->gate.Acquire(this->server, kind);
  }
  ServerPermit MustAcquire() {
    const PermitResult permit = this->Acquire(WorkKind::kFirst);
    REQUIRE(state::IsOk(permit));
    return state::ValueOf(permit);
  }
  GateRefusal RefusalOf(WorkKind kind) {
    const PermitResult permit = this->Acquire(kind);
    REQUIRE_FALSE(state::IsOk(permit));
    return state::ErrorOf(permit);
  }
  state::SubReply Reply(const std::string& instance, state::ReplyStatus status,
                        bool leaving = false) const {
    state::SubReply reply;
    reply.status = status;
    reply.report.instance = state::InstanceId(instance);
    reply.report.warm = true;
    reply.report.leaving = leaving;
    return reply;
  }
  void Serve(const std::string& instance, state::ReplyStatus status,
             bool leaving = false) {
    const ServerPermit permit = this->MustAcquire();
    this->Advance(state::Milliseconds(1));
    this->gate.Release(permit, this->Reply(instance, status, leaving));
  }
  void ServeWithLoad(const std::string& instance, std::uint32_t running) {
    const ServerPermit permit = this->MustAcquire();
    state::SubReply reply = this->Reply(instance, state::ReplyStatus::kOk);
    reply.report.running = running;
    this->gate.Release(permit, reply);
  }
  void MakeWarm() {
    this->Note("i1", state::ServerPhase::kWarm, state::Milliseconds(0));
    REQUIRE(this->Record().phase == state::ServerPhase::kWarm);
  }
  void Note(const std::string& instance, state::ServerPhase phase,
            state::Duration age) {
    const ServerUpdate update{this->server.id, state::InstanceId(instance),
                              phase, age};
    this->servers.Update(this->server.id, [&](state::ServerRecord& record) {
      this->rules.OnServerUpdate(record, update, this->clock.Now());
    });
  }
  void Advance(state::Duration duration) { this->clock.now += duration; }
  state::ServerRecord Record() const {
    return this->servers.Find(this->server.id).value_or(state::ServerRecord());
  }
  void PutService() {
    state::ServiceEntry service;
    service.id = state::ServiceId("plans");
    service.servers = {this->server};
    this->Put("service/plans",
              std::make_shared<const state::CatalogueContent>(service));
  }
  void RemoveService() { this->Put("service/plans", nullptr); }
  void SetDomain(state::DomainState domain_state) {
    state::FailureDomainEntry domain;
    domain.id = this->server.domain;
    domain.domain_state = domain_state;
    this->Put("domain/a",
              std::make_shared<const state::CatalogueContent>(domain));
  }
  void Put(const std::string& key,
           std::shared_ptr<const state::CatalogueContent> content) {
    state::CatalogueRecord record;
    record.key = key;
    record.revision = ++this->revision;
    record.content_hash = this->revision;
    record.content = std::move(content);
    REQUIRE(state::IsOk(this->catalogue.Put(record)));
  }

  state::ServerEntry server;
  std::uint64_t revision = 0;
  FakeClock clock;
  FakeTimerService timers;
  SeededRandomSource random{7};
  state::CatalogueTable catalogue;
  state::ServerTable servers;
  RecordingAuditSink audit;
  RecordingServerUpdateChannel board;
  std::vector<ServerUpdate>& server_updates = board.server_updates;
  ServerPhaseJournal journal{audit, board};
  ServerPhaseRules rules{ServerPhaseThresholds()};
  ServerBackoff backoff{random, BackoffOptions()};
  ReportedSlotLimiter slots{SlotLimits()};
  CatalogueDomainAdmission domains{catalogue};
  FixedOwnership ownership;
  FixedRoster roster;
  RendezvousColdSlotOwnership rendezvous{clock, roster, state::HostId("h1"),
                                         OwnershipTimes()};
  FleetServerGate gate{clock, servers, domains, ownership,
                       slots, backoff, rules,   journal};
  ServerTableReconciler reconciler{clock,      timers, catalogue, servers,
                                   rendezvous, rules,  journal};
};

}  // namespace banyanknot::coordination::servers_test

#endif  // BANYANKNOT_TEST_COORDINATION_SERVERS_GATE_FIXTURE_H_
