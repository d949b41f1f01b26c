#ifndef BANYANKNOT_COORDINATION_SERVERS_SERVER_PHASE_JOURNAL_H_
#define BANYANKNOT_COORDINATION_SERVERS_SERVER_PHASE_JOURNAL_H_

#include <string>

#include "banyanknot/coordination/audit_sink.h"
#include "banyanknot/coordination/server_update_channel.h"
#include "banyanknot/coordination/servers/server_phase_change.h"

namespace banyanknot::coordination {

/// \brief Audits phase changes of servers and publishes them to other hosts.
///
/// Thread-safe.
class ServerPhaseJournal {
 public:
  ServerPhaseJournal(AuditSink& audit, ServerUpdateChannel& server_updates)
      : audit(audit), server_updates(server_updates) {}

  /// \brief Audits and publishes a change that this host observed, if any.
  void Record(const state::ServerId& server, const MaybePhaseChange& change);

  /// \brief Audits a change reported by `host`. Publishes only a confirmation,
  /// which is an observation of this host.
  void RecordFromPeer(const state::ServerId& server,
                      const MaybePhaseChange& change,
                      const state::HostId& host);

 private:
  void Audit(const state::ServerId& server, const ServerPhaseChange& change,
             const std::string& source);

  AuditSink& audit;
  ServerUpdateChannel& server_updates;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_SERVER_PHASE_JOURNAL_H_
