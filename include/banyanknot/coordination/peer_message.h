#ifndef BANYANKNOT_COORDINATION_PEER_MESSAGE_H_
#define BANYANKNOT_COORDINATION_PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "banyanknot/state/action.h"
#include "banyanknot/state/catalogue.h"
#include "banyanknot/state/host_record.h"
#include "banyanknot/state/server_phase.h"

namespace banyanknot::coordination {

/// \brief Gossip about the state of a host.
struct HostUpdate {
  state::ListedHost host;
  std::uint64_t incarnation = 0;
  state::HostState host_state = state::HostState::kAlive;
  std::uint32_t refutation = 0;  ///< raised by the host when it is suspected
};

/// \brief Gossip about the phase of a backend server.
struct ServerUpdate {
  state::ServerId server;
  state::InstanceId instance;
  state::ServerPhase phase = state::ServerPhase::kUnknown;
  state::Duration age{0};  ///< time since it entered that phase
};

/// \brief Digest of a catalogue; two hosts compare theirs to detect
/// differences.
struct CatalogueDigest {
  std::uint64_t max_revision = 0;
  std::uint64_t hash = 0;  ///< over key, revision and content of all entries
};

using state::EntryVersion;

/// \brief One replaced part of an earlier text.
struct TextSplice {
  std::uint32_t offset = 0;   ///< in the earlier text, in bytes
  std::uint32_t removed = 0;  ///< bytes of the earlier text left out
  std::string inserted;       ///< replaces them
};

/// \brief One entry, whole or as a change of an earlier version.
struct EntryPatch {
  std::string key;
  std::uint64_t revision = 0;
  bool deleted = false;
  std::uint64_t base_revision = 0;  ///< 0 if `text` is the whole entry
  std::uint64_t base_hash = 0;      ///< content hash of the base
  std::uint64_t content_hash = 0;   ///< of the whole text of the new version
  std::string text;                 ///< the whole entry; empty with a base
  std::vector<TextSplice> splices;  ///< of the base, in order, not overlapping
};

/// \brief Heartbeat; carries gossip and the sender's catalogue digest.
struct PeerPing {
  std::uint64_t sequence = 0;
  state::ListedHost sender;
  CatalogueDigest digest;
  std::vector<HostUpdate> host_updates;
  std::vector<ServerUpdate> server_updates;
};

/// \brief Reply to a PeerPing.
struct PeerPong {
  std::uint64_t sequence = 0;
  CatalogueDigest digest;
  std::vector<HostUpdate> host_updates;
  std::vector<ServerUpdate> server_updates;
};

/// \brief Asks another host to ping `target` for the sender.
struct PeerProbe {
  std::uint64_t sequence = 0;
  state::ListedHost target;
};

/// \brief Result of a PeerProbe.
struct PeerProbeResult {
  std::uint64_t sequence = 0;
  state::HostId target;
  std::uint64_t target_incarnation = 0;
  bool reachable = false;
};

/// \brief Announces that the sender stops and takes no more work.
struct PeerGoodbye {};

/// \brief Updates sent immediately, outside heartbeats.
struct PeerUpdates {
  std::vector<HostUpdate> host_updates;
  std::vector<ServerUpdate> server_updates;
};

/// \brief Lists versions that the sender has and the receiver may lack.
struct PeerOffer {
  std::vector<EntryVersion> entries;
};

/// \brief Asks for entries, given the versions that the sender has.
///
/// Without entries it asks for the versions of the whole catalogue.
struct PeerPull {
  std::vector<EntryVersion> have;
};

/// \brief Entries that were pulled.
struct PeerPatches {
  std::vector<EntryPatch> patches;
};

/// \brief Forwards an action to the host that issued its ticket.
struct PeerAction {
  std::uint64_t call = 0;    ///< the sender's call number, echoed in the result
  state::Endpoint reply_to;  ///< where the sender expects the result
  state::Action action;      ///< its deadline is sent as the remaining time
};

/// \brief Result of a PeerAction.
struct PeerActionResult {
  std::uint64_t call = 0;
  state::Ticket ticket;
  state::ActionReply reply;
};

using PeerMessage = std::variant<PeerPing, PeerPong, PeerProbe, PeerProbeResult,
                                 PeerGoodbye, PeerUpdates, PeerOffer, PeerPull,
                                 PeerPatches, PeerAction, PeerActionResult>;

/// \brief A message and its sender.
struct PeerEnvelope {
  state::HostId from;
  std::uint64_t incarnation = 0;  ///< of the sender
  PeerMessage message;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_PEER_MESSAGE_H_
