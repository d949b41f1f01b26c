#ifndef BANYANKNOT_COORDINATION_PEER_ROUTER_H_
#define BANYANKNOT_COORDINATION_PEER_ROUTER_H_

#include <vector>

#include "banyanknot/coordination/peer_link.h"

namespace banyanknot::coordination {

/// \brief Hands each message of another host to several handlers.
///
/// Each handler gets every message and ignores those that are not for it.
/// Handlers are added before the link starts to listen; after that it is
/// thread-safe.
class PeerRouter : public PeerHandler {
 public:
  PeerRouter() = default;
  explicit PeerRouter(std::vector<PeerHandler*> handlers);

  /// \brief Adds a handler that needs the link for its own construction.
  /// \pre handler is not null; no message has come yet
  void Add(PeerHandler* handler);

  void OnPeerMessage(const PeerEnvelope& envelope) override;

 private:
  std::vector<PeerHandler*> handlers;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_PEER_ROUTER_H_
