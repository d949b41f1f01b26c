#include "banyanknot/coordination/servers/server_update_receiver.h"

namespace banyanknot::coordination {

void ServerUpdateReceiver::OnServerUpdate(const ServerUpdate& update,
                                          const state::HostId& from) {
  const state::TimePoint now = this->clock.Now();
  MaybePhaseChange change;
  this->servers.Update(update.server, [&](state::ServerRecord& record) {
    change = this->rules.OnServerUpdate(record, update, now);
  });
  this->journal.RecordFromPeer(update.server, change, from);
}

}  // namespace banyanknot::coordination
