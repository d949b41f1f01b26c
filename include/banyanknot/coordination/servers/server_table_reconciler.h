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

/// \brief Keeps the server table in step with the catalogue.
///
/// Presumes cold the servers of a failure domain that returns and those whose
/// entry comes back, and has the ownership observe its rosters. Run by one
/// timer; not thread-safe itself, unlike the tables that it changes.
class ServerTableReconciler {
 public:
  ServerTableReconciler(const Clock& clock, TimerService& timers,
                        const state::CatalogueTable& catalogue,
                        state::ServerTable& servers,
                        RendezvousColdSlotOwnership& ownership,
                        const ServerPhaseRules& rules,
                        ServerPhaseJournal& journal);

  /// \brief Runs RunOnce() at a steady interval until the process ends.
  void Start();

  /// \brief Compares once.
  void RunOnce();

 private:
  using Listing = std::unordered_map<state::ServerId, state::ServerEntry>;

  void FollowCatalogue();
  Listing ListServers();
  void Follow(const state::ServerEntry& entry, bool is_out);
  void MarkUnlisted(const Listing& listing);

  const Clock& clock;
  TimerService& timers;
  const state::CatalogueTable& catalogue;
  state::ServerTable& servers;
  RendezvousColdSlotOwnership& ownership;
  const ServerPhaseRules& rules;
  ServerPhaseJournal& journal;
  std::optional<std::uint64_t> followed_change;
  std::vector<state::FailureDomainId> domains;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_SERVER_TABLE_RECONCILER_H_
