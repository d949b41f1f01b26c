#include "banyanknot/coordination/servers/fleet_server_gate.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

constexpr state::Duration kPermitValidity = state::Milliseconds(150);
/// A server that closes a connection so soon after a reply may have restarted;
/// one that closes it later does so because the connection was idle.
constexpr state::Duration kIdleCloseAge = state::Milliseconds(5'000);
constexpr int kLatencyWeight = 8;

void CopyLimits(state::ServerRecord& record, const state::ServerEntry& server) {
  record.limits = {server.domain, server.endpoint,   server.connections,
                   server.slots,  server.cold_slots, server.warm_up};
}

void AddLatency(state::ServerRecord& record, state::Duration latency) {
  if (record.average_latency.count() == 0) {
    record.average_latency = latency;
    return;
  }
  record.average_latency += (latency - record.average_latency) / kLatencyWeight;
}

std::uint32_t OthersInProgress(const state::ServerRecord& record) {
  const std::uint32_t reported = record.report.running + record.report.queued;
  return reported > record.in_flight ? reported - record.in_flight : 0;
}

}  // namespace

FleetServerGate::FleetServerGate(
    const Clock& clock, state::ServerTable& servers, DomainAdmission& domains,
    ColdSlotOwnership& ownership, const SlotLimiter& slots,
    const ServerBackoff& backoff, const ServerPhaseRules& rules,
    ServerPhaseJournal& journal)
    : clock(clock),
      servers(servers),
      domains(domains),
      ownership(ownership),
      slots(slots),
      backoff(backoff),
      rules(rules),
      journal(journal) {}

PermitResult FleetServerGate::Acquire(const state::ServerEntry& server,
                                      WorkKind kind) {
  const std::optional<GateRefusal> barred = this->domains.Check(server.domain);
  if (barred) return *barred;
  const std::uint32_t owned = this->OwnedColdSlots(server);
  const state::TimePoint now = this->clock.Now();
  return this->servers.Update(server.id,
                              [&](state::ServerRecord& record) -> PermitResult {
                                CopyLimits(record, server);
                                const std::optional<GateRefusal> refusal =
                                    this->Weigh(record, kind, owned, now);
                                if (refusal) return *refusal;
                                return this->Grant(record, server, now);
                              });
}

std::uint32_t FleetServerGate::OwnedColdSlots(
    const state::ServerEntry& server) {
  state::ServerPhase phase = state::ServerPhase::kUnknown;
  this->servers.UpdateIfPresent(
      server.id,
      [&phase](const state::ServerRecord& record) { phase = record.phase; });
  const bool bears_little = phase == state::ServerPhase::kCold ||
                            phase == state::ServerPhase::kUnknown;
  return bears_little ? this->ownership.OwnedSlots(server.id, server.domain,
                                                   server.cold_slots)
                      : 0;
}

std::optional<GateRefusal> FleetServerGate::Weigh(
    const state::ServerRecord& record, WorkKind kind, std::uint32_t owned,
    state::TimePoint now) const {
  if (record.domain_was_out) return GateRefusal::kDomainOut;
  if (!record.is_listed || record.phase == state::ServerPhase::kLeaving) {
    return GateRefusal::kLeaving;
  }
  if (now < record.retry_at) return GateRefusal::kUnreachable;
  if (record.phase != state::ServerPhase::kWarm) {
    return this->WeighCold(record, kind, owned);
  }
  if (record.in_flight >= this->slots.Limit(record, now)) {
    return GateRefusal::kBusy;
  }
  return std::nullopt;
}

std::optional<GateRefusal> FleetServerGate::WeighCold(
    const state::ServerRecord& record, WorkKind kind,
    std::uint32_t owned) const {
  if (kind == WorkKind::kHedge || kind == WorkKind::kRetry) {
    return GateRefusal::kColdExtra;
  }
  if (owned == 0) return GateRefusal::kColdNotOwner;
  // Work from before it turned cold counts too.
  if (record.in_flight >= owned << record.ramp_step) {
    return GateRefusal::kColdBusy;
  }
  return std::nullopt;
}

PermitResult FleetServerGate::Grant(state::ServerRecord& record,
                                    const state::ServerEntry& server,
                                    state::TimePoint now) const {
  ServerPermit permit;
  permit.server = server.id;
  permit.granted_at = now;
  permit.valid_until = now + kPermitValidity;
  permit.is_cold = record.phase != state::ServerPhase::kWarm;
  ++record.in_flight;
  if (permit.is_cold) ++record.cold_in_flight;
  // One attempt at a time at a server that could not be connected to.
  const state::Duration delay =
      this->backoff.DelayAfter(record.consecutive_failures);
  if (delay.count() > 0) record.retry_at = now + delay;
  return permit;
}

void FleetServerGate::Release(const ServerPermit& permit,
                              const BackendResult& result) {
  const state::TimePoint now = this->clock.Now();
  MaybePhaseChange change;
  this->servers.UpdateIfPresent(
      permit.server, [&](state::ServerRecord& record) {
        if (record.in_flight > 0) --record.in_flight;
        if (permit.is_cold && record.cold_in_flight > 0) {
          --record.cold_in_flight;
        }
        change = this->Learn(record, permit, result, now);
      });
  this->journal.Record(permit.server, change);
}

MaybePhaseChange FleetServerGate::Learn(state::ServerRecord& record,
                                        const ServerPermit& permit,
                                        const BackendResult& result,
                                        state::TimePoint now) const {
  if (!state::IsOk(result)) {
    return this->LearnFailure(record, state::ErrorOf(result), now);
  }
  const state::SubReply& reply = state::ValueOf(result);
  record.consecutive_failures = 0;
  record.retry_at = state::TimePoint();
  record.last_reply_at = now;
  if (reply.status == state::ReplyStatus::kOk) {
    AddLatency(record, now - permit.granted_at);
  }
  MaybePhaseChange change =
      this->rules.OnReply(record, reply, permit.granted_at, now);
  record.others_in_progress = OthersInProgress(record);
  return change;
}

MaybePhaseChange FleetServerGate::LearnFailure(state::ServerRecord& record,
                                               BackendFailure failure,
                                               state::TimePoint now) const {
  switch (failure) {
    case BackendFailure::kNotSent:
      record.last_failure_at = now;
      ++record.consecutive_failures;
      record.retry_at =
          now + this->backoff.DelayAfter(record.consecutive_failures);
      return std::nullopt;
    case BackendFailure::kLost:
      record.last_failure_at = now;
      return this->rules.OnConnectionLost(record, now);
    case BackendFailure::kTimeout:
    case BackendFailure::kBadReply:
      record.last_failure_at = now;
      record.good_replies = 0;
      return std::nullopt;
    case BackendFailure::kConnectionLimit:
    case BackendFailure::kExpired:
    case BackendFailure::kCancelled:
      return std::nullopt;
  }
  return std::nullopt;
}

void FleetServerGate::OnClosedByServer(const state::ServerId& server,
                                       state::Duration idle_for) {
  if (idle_for >= kIdleCloseAge) return;
  const state::TimePoint now = this->clock.Now();
  MaybePhaseChange change;
  this->servers.UpdateIfPresent(server, [&](state::ServerRecord& record) {
    change = this->rules.OnConnectionLost(record, now);
  });
  this->journal.Record(server, change);
}

}  // namespace banyanknot::coordination
