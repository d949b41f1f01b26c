#include "banyanknot/coordination/fleet/peer_message_size.h"

#include <vector>

#include "banyanknot/coordination/fleet/patch_history.h"

namespace banyanknot::coordination {
namespace {

constexpr std::size_t kEnvelopeBytes = 64;
constexpr std::size_t kDigestBytes = 16;
constexpr std::size_t kHostBytes = 48;
constexpr std::size_t kHostUpdateBytes = 24;
constexpr std::size_t kServerUpdateBytes = 40;
constexpr std::size_t kVersionBytes = 32;

std::size_t SizeOfHost(const state::ListedHost& host) {
  return kHostBytes + host.id.Text().size() + host.domain.Text().size() +
         host.peer.address.size() + host.caller.address.size();
}

std::size_t SizeOfUpdates(const std::vector<HostUpdate>& host_updates,
                          const std::vector<ServerUpdate>& server_updates) {
  std::size_t bytes = 0;
  for (const HostUpdate& update : host_updates) {
    bytes += kHostUpdateBytes + SizeOfHost(update.host);
  }
  for (const ServerUpdate& update : server_updates) {
    bytes += kServerUpdateBytes + update.server.Text().size() +
             update.instance.Text().size();
  }
  return bytes;
}

std::size_t SizeOfVersions(const std::vector<EntryVersion>& versions) {
  std::size_t bytes = 0;
  for (const EntryVersion& version : versions) {
    bytes += kVersionBytes + version.key.size();
  }
  return bytes;
}

std::size_t SizeOfBody(const PeerPing& ping) {
  return kDigestBytes + SizeOfHost(ping.sender) +
         SizeOfUpdates(ping.host_updates, ping.server_updates);
}
std::size_t SizeOfBody(const PeerPong& pong) {
  return kDigestBytes + SizeOfUpdates(pong.host_updates, pong.server_updates);
}
std::size_t SizeOfBody(const PeerProbe& probe) {
  return SizeOfHost(probe.target);
}
std::size_t SizeOfBody(const PeerProbeResult& result) {
  return kHostUpdateBytes + result.target.Text().size();
}
std::size_t SizeOfBody(const PeerGoodbye& /*goodbye*/) { return 0; }
std::size_t SizeOfBody(const PeerUpdates& updates) {
  return SizeOfUpdates(updates.host_updates, updates.server_updates);
}
std::size_t SizeOfBody(const PeerOffer& offer) {
  return SizeOfVersions(offer.entries);
}
std::size_t SizeOfBody(const PeerPull& pull) {
  return SizeOfVersions(pull.have);
}
std::size_t SizeOfBody(const PeerPatches& patches) {
  std::size_t bytes = 0;
  for (const EntryPatch& patch : patches.patches) bytes += SizeOf(patch);
  return bytes;
}

/// Other kinds of message are no control traffic and count nothing.
template <typename Other>
std::size_t SizeOfBody(const Other& /*message*/) {
  return 0;
}

}  // namespace

std::size_t EstimateSize(const PeerMessage& message) {
  return kEnvelopeBytes +
         std::visit([](const auto& body) { return SizeOfBody(body); }, message);
}

}  // namespace banyanknot::coordination
