#include "banyanknot/coordination/servers/server_phase_journal.h"

#include <string_view>

namespace banyanknot::coordination {

void ServerPhaseJournal::Record(const state::ServerId& server,
                                const MaybePhaseChange& change) {
  if (!change) return;
  this->Audit(server, *change, "local");
  this->server_updates.Publish(
      {server, change->instance, change->to, state::Duration(0)});
}

void ServerPhaseJournal::RecordFromPeer(const state::ServerId& server,
                                        const MaybePhaseChange& change,
                                        const state::HostId& host) {
  if (!change) return;
  this->Audit(server, *change, host.Text());
  if (change->cause == PhaseCause::kConfirmed) {
    this->server_updates.Publish(
        {server, change->instance, change->to, state::Duration(0)});
  }
}

void ServerPhaseJournal::Audit(const state::ServerId& server,
                               const ServerPhaseChange& change,
                               const std::string& source) {
  if (change.from == change.to) return;
  AuditEvent event;
  event.kind = AuditKind::kServerPhase;
  event.subject = server.Text();
  event.source = source;
  event.detail = std::string(NameOf(change.from)) + " -> " +
                 std::string(NameOf(change.to)) + ", instance " +
                 change.instance.Text() + ", " +
                 std::string(NameOf(change.cause));
  this->audit.Append(event);
}

}  // namespace banyanknot::coordination
