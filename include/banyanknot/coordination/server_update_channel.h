#ifndef BANYANKNOT_COORDINATION_SERVER_UPDATE_CHANNEL_H_
#define BANYANKNOT_COORDINATION_SERVER_UPDATE_CHANNEL_H_

#include "banyanknot/coordination/peer_message.h"
#include "banyanknot/coordination/server_update_listener.h"

namespace banyanknot::coordination {

/// \brief Spreads what hosts learn of backend servers over the fleet.
///
/// Thread-safe.
class ServerUpdateChannel {
 public:
  virtual ~ServerUpdateChannel() = default;

  /// \brief Passes on what this host has learnt itself.
  ///
  /// A note of a leaving server goes to some peers at once, any other with
  /// the next heartbeats.
  virtual void Publish(const ServerUpdate& update) = 0;

  /// \brief Has `listener` told of the notes of other hosts.
  /// \param listener must live as long as the board
  virtual void Subscribe(ServerUpdateListener& listener) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVER_UPDATE_CHANNEL_H_
