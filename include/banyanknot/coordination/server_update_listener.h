#ifndef BANYANKNOT_COORDINATION_SERVER_UPDATE_LISTENER_H_
#define BANYANKNOT_COORDINATION_SERVER_UPDATE_LISTENER_H_

#include "banyanknot/coordination/peer_message.h"
#include "banyanknot/state/identifier.h"

namespace banyanknot::coordination {

/// \brief Receives the server updates of other hosts.
class ServerUpdateListener {
 public:
  virtual ~ServerUpdateListener() = default;

  /// \brief Called on any thread, with no lock held.
  ///
  /// The same update may arrive more than once and from several hosts.
  /// \param update its age already includes the time since it reached this host
  /// \param from the host that forwarded it
  virtual void OnServerUpdate(const ServerUpdate& update,
                              const state::HostId& from) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVER_UPDATE_LISTENER_H_
