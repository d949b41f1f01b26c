#include "banyanknot/coordination/peer_router.h"

#include <utility>

#include "banyanknot/state/util/assert.h"

namespace banyanknot::coordination {

PeerRouter::PeerRouter(std::vector<PeerHandler*> handlers)
    : handlers(std::move(handlers)) {}

void PeerRouter::Add(PeerHandler* handler) {
  BANYANKNOT_ASSERT(handler != nullptr, "handler must not be null");
  this->handlers.push_back(handler);
}

void PeerRouter::OnPeerMessage(const PeerEnvelope& envelope) {
  for (PeerHandler* handler : this->handlers) handler->OnPeerMessage(envelope);
}

}  // namespace banyanknot::coordination
