#ifndef BANYANKNOT_COORDINATION_SERVERS_SERVER_TABLE_RECONCILER_H_
#define BANYANKNOT_COORDINATION_SERVERS_SERVER_TABLE_RECONCILER_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/servers/rendezvous_cold_slot_ownership.h"
#include "banyanknot/coordination/servers/server_phase_journal.h"
#include "banyanknot/coordination/servers/server_phase_rules.h"
#include "banyanknot/coordination/timer_service.h"
#include "banyanknot/state/catalogue_table.h"
#include "banyanknot/state/server_record.h"

namespace banyanknot::coordination {

/// \brief Reconciles the server table with the catalogue.
///
/// Marks servers cold when their failure domain or catalogue entry returns, and
/// has the cold-slot ownership observe its rosters. Not thread-safe; run by one
/// timer.
class ServerTableReconciler {
 public:
  ServerTableReconciler(const Clock& clock, TimerService& timers,
                        const state::CatalogueTable& catalogue,
                        state::ServerTable& servers,
                        RendezvousColdSlotOwnership& ownership,
                        const ServerPhaseRules& rules,
                        ServerPhaseJournal& journal);

  /// \brief Runs RunOnce() at a fixed interval until the process ends.
  void Start();

  /// \brief Reconciles once.
  void RunOnce();

 private:
  using ServerEntries = std::unordered_map<state::ServerId, state::ServerEntry>;

  void ApplyCatalogue();
  ServerEntries CollectEntries();
  void ApplyEntry(const state::ServerEntry& entry, bool is_out);
  void MarkUnlisted(const ServerEntries& entries);

  const Clock& clock;
  TimerService& timers;
  const state::CatalogueTable& catalogue;
  state::ServerTable& servers;
  RendezvousColdSlotOwnership& ownership;
  const ServerPhaseRules& rules;
  ServerPhaseJournal& journal;
  std::optional<std::uint64_t> applied_change_count;
  std::vector<state::FailureDomainId> domains;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_SERVER_TABLE_RECONCILER_H_
