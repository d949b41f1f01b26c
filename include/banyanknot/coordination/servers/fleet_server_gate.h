#ifndef BANYANKNOT_COORDINATION_SERVERS_FLEET_SERVER_GATE_H_
#define BANYANKNOT_COORDINATION_SERVERS_FLEET_SERVER_GATE_H_

#include <cstdint>
#include <optional>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/server_gate.h"
#include "banyanknot/coordination/servers/cold_slot_ownership.h"
#include "banyanknot/coordination/servers/domain_admission.h"
#include "banyanknot/coordination/servers/server_backoff.h"
#include "banyanknot/coordination/servers/server_connection_listener.h"
#include "banyanknot/coordination/servers/server_phase_journal.h"
#include "banyanknot/coordination/servers/server_phase_rules.h"
#include "banyanknot/coordination/servers/slot_limiter.h"
#include "banyanknot/state/server_record.h"

namespace banyanknot::coordination {

/// \brief Admits work by failure domain, server phase, cold-slot ownership,
/// load and connection backoff.
///
/// Thread-safe. All server state is in the server table; each decision is one
/// atomic update of one record. \sa ServerPhaseRules
class FleetServerGate : public ServerGate, public ServerConnectionListener {
 public:
  FleetServerGate(const Clock& clock, state::ServerTable& servers,
                  DomainAdmission& domains, ColdSlotOwnership& ownership,
                  const SlotLimiter& slots, const ServerBackoff& backoff,
                  const ServerPhaseRules& rules, ServerPhaseJournal& journal);

  PermitResult Acquire(const state::ServerEntry& server,
                       WorkKind kind) override;
  void Release(const ServerPermit& permit,
               const BackendResult& result) override;
  void OnClosedByServer(const state::ServerId& server,
                        state::Duration idle_for) override;

 private:
  std::uint32_t OwnedColdSlots(const state::ServerEntry& server);
  std::optional<GateRefusal> CheckRecord(const state::ServerRecord& record,
                                         WorkKind kind, std::uint32_t owned,
                                         state::TimePoint now) const;
  std::optional<GateRefusal> CheckCold(const state::ServerRecord& record,
                                       WorkKind kind,
                                       std::uint32_t owned) const;
  PermitResult GrantPermit(state::ServerRecord& record,
                           const state::ServerEntry& server,
                           state::TimePoint now) const;
  MaybePhaseChange RecordResult(state::ServerRecord& record,
                                const ServerPermit& permit,
                                const BackendResult& result,
                                state::TimePoint now) const;
  MaybePhaseChange RecordFailure(state::ServerRecord& record,
                                 BackendFailure failure,
                                 state::TimePoint now) const;

  const Clock& clock;
  state::ServerTable& servers;
  DomainAdmission& domains;
  ColdSlotOwnership& ownership;
  const SlotLimiter& slots;
  const ServerBackoff& backoff;
  const ServerPhaseRules& rules;
  ServerPhaseJournal& journal;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_FLEET_SERVER_GATE_H_
