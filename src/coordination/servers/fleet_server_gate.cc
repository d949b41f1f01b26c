#include "banyanknot/coordination/servers/fleet_server_gate.h"

#include <algorithm>

namespace banyanknot::coordination {
namespace {

constexpr state::Duration kPermitValidity = state::Milliseconds(150);
/// A close sooner than this after the last reply may mean a restart; a later
/// one is an idle timeout at the server.
constexpr state::Duration kMinIdleCloseAge = state::Milliseconds(5'000);
constexpr int kLatencyWeight = 8;

void CopyLimits(state::ServerRecord& record, const state::ServerEntry& server) {
  record.limits = {server.domain, server.endpoint,   server.connections,
                   server.slots,  server.cold_slots, server.warm_up};
}

void RecordLatency(state::ServerRecord& record, state::Duration latency) {
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
  const std::optional<GateRefusal> domain_refusal =
      this->domains.Check(server.domain);
  if (domain_refusal) return *domain_refusal;
  const std::uint32_t owned = this->OwnedColdSlots(server);
  const state::TimePoint now = this->clock.Now();
  return this->servers.Update(server.id,
                              [&](state::ServerRecord& record) -> PermitResult {
                                CopyLimits(record, server);
                                const std::optional<GateRefusal> refusal =
                                    this->CheckRecord(record, kind, owned, now);
                                if (refusal) return *refusal;
                                return this->GrantPermit(record, server, now);
                              });
}

std::uint32_t FleetServerGate::OwnedColdSlots(
    const state::ServerEntry& server) {
  state::ServerPhase phase = state::ServerPhase::kUnknown;
  this->servers.UpdateIfPresent(
      server.id,
      [&phase](const state::ServerRecord& record) { phase = record.phase; });
  const bool may_be_cold = phase == state::ServerPhase::kCold ||
                           phase == state::ServerPhase::kUnknown;
  return may_be_cold ? this->ownership.OwnedSlots(server.id, server.domain,
                                                  server.cold_slots)
                     : 0;
}

std::optional<GateRefusal> FleetServerGate::CheckRecord(
    const state::ServerRecord& record, WorkKind kind, std::uint32_t owned,
    state::TimePoint now) const {
  if (record.domain_was_out) return GateRefusal::kDomainOut;
  if (!record.is_listed || record.phase == state::ServerPhase::kLeaving) {
    return GateRefusal::kLeaving;
  }
  if (now < record.retry_at) return GateRefusal::kUnreachable;
  if (record.phase != state::ServerPhase::kWarm) {
    return this->CheckCold(record, kind, owned);
  }
  if (record.in_flight >= this->slots.Limit(record, now)) {
    return GateRefusal::kBusy;
  }
  return std::nullopt;
}

std::optional<GateRefusal> FleetServerGate::CheckCold(
    const state::ServerRecord& record, WorkKind kind,
    std::uint32_t owned) const {
  if (kind == WorkKind::kHedge || kind == WorkKind::kRetry) {
    return GateRefusal::kColdExtra;
  }
  if (owned == 0) return GateRefusal::kColdNotOwner;
  // in_flight includes requests granted before the server turned cold.
  if (record.in_flight >= owned << record.slow_start_step) {
    return GateRefusal::kColdBusy;
  }
  return std::nullopt;
}

PermitResult FleetServerGate::GrantPermit(state::ServerRecord& record,
                                          const state::ServerEntry& server,
                                          state::TimePoint now) const {
  ServerPermit permit;
  permit.server = server.id;
  permit.granted_at = now;
  permit.valid_until = now + kPermitValidity;
  permit.is_cold = record.phase != state::ServerPhase::kWarm;
  ++record.in_flight;
  if (permit.is_cold) ++record.cold_in_flight;
  // While in backoff, admit one attempt per delay.
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
        change = this->RecordResult(record, permit, result, now);
      });
  this->journal.Record(permit.server, change);
}

MaybePhaseChange FleetServerGate::RecordResult(state::ServerRecord& record,
                                               const ServerPermit& permit,
                                               const BackendResult& result,
                                               state::TimePoint now) const {
  if (!state::IsOk(result)) {
    return this->RecordFailure(record, state::ErrorOf(result), now);
  }
  const state::SubReply& reply = state::ValueOf(result);
  record.consecutive_failures = 0;
  record.retry_at = state::TimePoint();
  record.last_reply_at = now;
  if (reply.status == state::ReplyStatus::kOk) {
    RecordLatency(record, now - permit.granted_at);
  }
  MaybePhaseChange change =
      this->rules.OnReply(record, reply, permit.granted_at, now);
  record.others_in_flight = OthersInProgress(record);
  return change;
}

MaybePhaseChange FleetServerGate::RecordFailure(state::ServerRecord& record,
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
  if (idle_for >= kMinIdleCloseAge) return;
  const state::TimePoint now = this->clock.Now();
  MaybePhaseChange change;
  this->servers.UpdateIfPresent(server, [&](state::ServerRecord& record) {
    change = this->rules.OnConnectionLost(record, now);
  });
  this->journal.Record(server, change);
}

}  // namespace banyanknot::coordination
