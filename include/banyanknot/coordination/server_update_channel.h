#ifndef BANYANKNOT_COORDINATION_SERVER_UPDATE_CHANNEL_H_
#define BANYANKNOT_COORDINATION_SERVER_UPDATE_CHANNEL_H_

#include "banyanknot/coordination/peer_message.h"
#include "banyanknot/coordination/server_update_listener.h"

namespace banyanknot::coordination {

/// \brief Publishes the observed phases of backend servers to the fleet.
///
/// Thread-safe.
class ServerUpdateChannel {
 public:
  virtual ~ServerUpdateChannel() = default;

  /// \brief Publishes an observation of this host.
  ///
  /// That a server is leaving, or a cold instance has taken its place, is sent
  /// to some peers immediately, any other update with the next heartbeats.
  virtual void Publish(const ServerUpdate& update) = 0;

  /// \brief Registers a listener for the updates of other hosts.
  /// \param listener must outlive the channel
  virtual void Subscribe(ServerUpdateListener& listener) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVER_UPDATE_CHANNEL_H_
