#ifndef BANYANKNOT_COORDINATION_SERVER_UPDATE_LISTENER_H_
#define BANYANKNOT_COORDINATION_SERVER_UPDATE_LISTENER_H_

#include "banyanknot/coordination/peer_message.h"
#include "banyanknot/state/identifier.h"

namespace banyanknot::coordination {

/// \brief Is told what other hosts learnt of backend servers.
class ServerUpdateListener {
 public:
  virtual ~ServerUpdateListener() = default;

  /// \brief Called on any thread, with no lock held.
  ///
  /// The same note may come more than once and from several hosts.
  /// \param note its age already includes the time since it reached this host
  /// \param from the host that passed it on
  virtual void OnServerUpdate(const ServerUpdate& update,
                              const state::HostId& from) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVER_UPDATE_LISTENER_H_
