#ifndef BANYANKNOT_COORDINATION_SERVER_UPDATE_SOURCE_H_
#define BANYANKNOT_COORDINATION_SERVER_UPDATE_SOURCE_H_

#include <vector>

#include "banyanknot/coordination/peer_message.h"

namespace banyanknot::coordination {

/// \brief Provides the server updates for the next heartbeat.
///
/// Thread-safe.
class ServerUpdateSource {
 public:
  virtual ~ServerUpdateSource() = default;

  /// \brief Returns a bounded number of updates, each a bounded number of
  /// times.
  virtual std::vector<ServerUpdate> TakeServerUpdates() = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVER_UPDATE_SOURCE_H_
