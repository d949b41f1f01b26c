#ifndef BANYANKNOT_COORDINATION_SERVER_UPDATE_SOURCE_H_
#define BANYANKNOT_COORDINATION_SERVER_UPDATE_SOURCE_H_

#include <vector>

#include "banyanknot/coordination/peer_message.h"

namespace banyanknot::coordination {

/// \brief Gives the notes of backend servers that the next heartbeat carries.
///
/// Thread-safe.
class ServerUpdateSource {
 public:
  virtual ~ServerUpdateSource() = default;

  /// \brief Takes a bounded number of notes, each a bounded number of times.
  virtual std::vector<ServerUpdate> TakeServerUpdates() = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVER_UPDATE_SOURCE_H_
