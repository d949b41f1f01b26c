#ifndef BANYANKNOT_COORDINATION_SERVER_NOTE_BOARD_H_
#define BANYANKNOT_COORDINATION_SERVER_NOTE_BOARD_H_

#include "banyanknot/coordination/peer_message.h"
#include "banyanknot/coordination/server_note_listener.h"

namespace banyanknot::coordination {

/// \brief Spreads what hosts learn of backend servers over the fleet.
///
/// Thread-safe.
class ServerNoteBoard {
 public:
  virtual ~ServerNoteBoard() = default;

  /// \brief Passes on what this host has learnt itself.
  ///
  /// A note of a leaving server goes to some peers at once, any other with
  /// the next heartbeats.
  virtual void Publish(const ServerNote& note) = 0;

  /// \brief Has `listener` told of the notes of other hosts.
  /// \param listener must live as long as the board
  virtual void Subscribe(ServerNoteListener& listener) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVER_NOTE_BOARD_H_
