#include "banyanknot/coordination/servers/server_note_receiver.h"

namespace banyanknot::coordination {

void ServerNoteReceiver::OnServerNote(const ServerNote& note,
                                      const state::HostId& from) {
  const state::TimePoint now = this->clock.Now();
  MaybePhaseChange change;
  this->servers.Update(note.server, [&](state::ServerRecord& record) {
    change = this->rules.OnNote(record, note, now);
  });
  this->journal.RecordFromPeer(note.server, change, from);
}

}  // namespace banyanknot::coordination
