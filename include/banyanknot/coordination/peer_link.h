#ifndef BANYANKNOT_COORDINATION_PEER_LINK_H_
#define BANYANKNOT_COORDINATION_PEER_LINK_H_

#include "banyanknot/coordination/peer_message.h"
#include "banyanknot/state/endpoint.h"

namespace banyanknot::coordination {

/// \brief Sends messages to other hosts.
///
/// Thread-safe. Messages may be lost, delayed, or reordered between
/// connections; the layer above requests again what must arrive.
class PeerLink {
 public:
  virtual ~PeerLink() = default;

  /// \brief Sends one message; returns at once and reports no failure.
  virtual void Send(const state::Endpoint& peer,
                    const PeerMessage& message) = 0;
};

/// \brief Receives the messages of other hosts.
class PeerHandler {
 public:
  virtual ~PeerHandler() = default;

  /// \brief Called for each message, on any thread.
  virtual void OnPeerMessage(const PeerEnvelope& envelope) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_PEER_LINK_H_
