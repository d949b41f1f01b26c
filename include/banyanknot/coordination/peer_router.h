#ifndef BANYANKNOT_COORDINATION_PEER_ROUTER_H_
#define BANYANKNOT_COORDINATION_PEER_ROUTER_H_

#include <vector>

#include "banyanknot/coordination/peer_link.h"

namespace banyanknot::coordination {

/// \brief Dispatches each message of another host to all handlers.
///
/// Each handler ignores the kinds it does not handle. Handlers must be added
/// before the link starts to listen; thread-safe from then on.
class PeerRouter : public PeerHandler {
 public:
  PeerRouter() = default;
  explicit PeerRouter(std::vector<PeerHandler*> handlers);

  /// \brief Adds a handler that needs the link for its own construction.
  /// \pre `handler` is not null and no message was received yet
  void Add(PeerHandler* handler);

  void OnPeerMessage(const PeerEnvelope& envelope) override;

 private:
  std::vector<PeerHandler*> handlers;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_PEER_ROUTER_H_
