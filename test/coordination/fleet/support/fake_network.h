#ifndef BANYANKNOT_TEST_COORDINATION_FLEET_SUPPORT_FAKE_NETWORK_H_
#define BANYANKNOT_TEST_COORDINATION_FLEET_SUPPORT_FAKE_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "banyanknot/coordination/peer_link.h"
#include "banyanknot/coordination/random_source.h"
#include "coordination/fleet/support/virtual_time.h"

namespace banyanknot::coordination::fleet_testing {

/// \brief In-process network between the hosts of one test.
///
/// Drops, delays and blocks messages as configured. Messages to a paused host
/// are queued.
class FakeNetwork {
 public:
  FakeNetwork(VirtualTime& time, std::uint64_t seed)
      : time(time), random(seed) {}

  void Attach(const state::Endpoint& endpoint,
              std::vector<PeerHandler*> handlers) {
    this->nodes[state::ToText(endpoint)].handlers = std::move(handlers);
  }
  void Detach(const state::Endpoint& endpoint) {
    this->nodes.erase(state::ToText(endpoint));
  }

  void Send(const state::Endpoint& from, const state::Endpoint& peer,
            const PeerEnvelope& envelope) {
    ++this->sent;
    if (this->is_cut && this->is_cut(from, peer)) return;
    if (this->random.Below(1'000) < this->loss_permille) return;
    const state::Duration delay =
        this->delay + state::Milliseconds(static_cast<std::int64_t>(
                          this->random.Below(this->jitter_ms + 1)));
    const std::string key = state::ToText(peer);
    this->time.RunAt(this->time.Now() + delay,
                     [this, key, envelope] { this->Deliver(key, envelope); });
  }

  void SetPaused(const state::Endpoint& endpoint, bool is_paused) {
    Node& node = this->nodes[state::ToText(endpoint)];
    node.is_paused = is_paused;
    if (is_paused) return;
    std::vector<PeerEnvelope> held;
    held.swap(node.held);
    for (const PeerEnvelope& envelope : held) {
      this->Deliver(state::ToText(endpoint), envelope);
    }
  }

  /// Returns whether messages from the first endpoint to the second are
  /// dropped.
  std::function<bool(const state::Endpoint&, const state::Endpoint&)> is_cut;
  std::uint64_t loss_permille = 0;
  state::Duration delay = state::Milliseconds(1);
  std::uint64_t jitter_ms = 1;
  std::uint64_t sent = 0;

 private:
  struct Node {
    std::vector<PeerHandler*> handlers;
    std::vector<PeerEnvelope> held;
    bool is_paused = false;
  };

  void Deliver(const std::string& key, const PeerEnvelope& envelope) {
    const auto node = this->nodes.find(key);
    if (node == this->nodes.end()) return;
    if (node->second.is_paused) {
      node->second.held.push_back(envelope);
      return;
    }
    for (PeerHandler* handler : node->second.handlers) {
      handler->OnPeerMessage(envelope);
    }
  }

  VirtualTime& time;
  SeededRandomSource random;
  std::map<std::string, Node> nodes;
};

/// \brief One host's end of a FakeNetwork.
class FakePeerLink : public PeerLink {
 public:
  FakePeerLink(FakeNetwork& network, const state::HostIdentity& self)
      : network(network), self(self) {}

  void Send(const state::Endpoint& peer, const PeerMessage& message) override {
    this->network.Send(this->self.self.peer, peer,
                       {this->self.self.id, this->self.incarnation, message});
  }

 private:
  FakeNetwork& network;
  const state::HostIdentity self;
};

}  // namespace banyanknot::coordination::fleet_testing

#endif  // BANYANKNOT_TEST_COORDINATION_FLEET_SUPPORT_FAKE_NETWORK_H_
