#ifndef BANYANKNOT_COORDINATION_SERVERS_SERVER_CONNECTION_LISTENER_H_
#define BANYANKNOT_COORDINATION_SERVERS_SERVER_CONNECTION_LISTENER_H_

#include "banyanknot/state/identifier.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Receives an event when a backend server closes an idle connection.
///
/// Thread-safe. Not called for connections that this host closes or that
/// stopped responding.
class ServerConnectionListener {
 public:
  virtual ~ServerConnectionListener() = default;

  /// \param idle_for time since the last reply on that connection
  virtual void OnClosedByServer(const state::ServerId& server,
                                state::Duration idle_for) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_SERVER_CONNECTION_LISTENER_H_
