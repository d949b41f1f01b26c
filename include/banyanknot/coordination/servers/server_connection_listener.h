#ifndef BANYANKNOT_COORDINATION_SERVERS_SERVER_CONNECTION_LISTENER_H_
#define BANYANKNOT_COORDINATION_SERVERS_SERVER_CONNECTION_LISTENER_H_

#include "banyanknot/state/identifier.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Is told when a backend server closes a connection that was idle.
///
/// Thread-safe. A connection that this host closes, or that fell silent, is
/// not told of.
class ServerConnectionListener {
 public:
  virtual ~ServerConnectionListener() = default;

  /// \param idle_for time since the last reply on that connection
  virtual void OnClosedByServer(const state::ServerId& server,
                                state::Duration idle_for) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_SERVER_CONNECTION_LISTENER_H_
