#ifndef BANYANKNOT_COORDINATION_SERVER_NOTE_SOURCE_H_
#define BANYANKNOT_COORDINATION_SERVER_NOTE_SOURCE_H_

#include <vector>

#include "banyanknot/coordination/peer_message.h"

namespace banyanknot::coordination {

/// \brief Gives the notes of backend servers that the next heartbeat carries.
///
/// Thread-safe.
class ServerNoteSource {
 public:
  virtual ~ServerNoteSource() = default;

  /// \brief Takes a bounded number of notes, each a bounded number of times.
  virtual std::vector<ServerNote> TakeNotes() = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVER_NOTE_SOURCE_H_
