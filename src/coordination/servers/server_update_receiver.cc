#include "banyanknot/coordination/servers/server_update_receiver.h"

namespace banyanknot::coordination {

void ServerUpdateReceiver::OnServerNote(const ServerNote& note,
                                        const state::HostId& from) {
  const state::TimePoint now = this->clock.Now();
  MaybePhaseChange change;
  this->servers.Update(note.server, [&](state::ServerRecord& record) {
    change = this->rules.OnServerUpdate(record, note, now);
  });
  this->journal.RecordFromPeer(note.server, change, from);
}

}  // namespace banyanknot::coordination
