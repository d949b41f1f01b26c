#ifndef BANYANKNOT_COORDINATION_SERVERS_SERVER_UPDATE_RECEIVER_H_
#define BANYANKNOT_COORDINATION_SERVERS_SERVER_UPDATE_RECEIVER_H_

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/server_update_listener.h"
#include "banyanknot/coordination/servers/server_phase_journal.h"
#include "banyanknot/coordination/servers/server_phase_rules.h"
#include "banyanknot/state/server_record.h"

namespace banyanknot::coordination {

/// \brief Applies server updates of other hosts to the server table.
///
/// Thread-safe.
class ServerUpdateReceiver : public ServerUpdateListener {
 public:
  ServerUpdateReceiver(const Clock& clock, state::ServerTable& servers,
                       const ServerPhaseRules& rules,
                       ServerPhaseJournal& journal)
      : clock(clock), servers(servers), rules(rules), journal(journal) {}

  void OnServerUpdate(const ServerUpdate& update,
                      const state::HostId& from) override;

 private:
  const Clock& clock;
  state::ServerTable& servers;
  const ServerPhaseRules& rules;
  ServerPhaseJournal& journal;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_SERVER_UPDATE_RECEIVER_H_
