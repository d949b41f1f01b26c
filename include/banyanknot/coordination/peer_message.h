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

/// \brief What one host tells another of a third.
struct HostUpdate {
  state::ListedHost host;
  std::uint64_t incarnation = 0;
  state::HostState host_state = state::HostState::kAlive;
  std::uint32_t refutation = 0;  ///< raised by the host when it is suspected
};

/// \brief What one host tells another of a backend server.
struct ServerUpdate {
  state::ServerId server;
  state::InstanceId instance;
  state::ServerPhase phase = state::ServerPhase::kUnknown;
  state::Duration age{0};  ///< time since it entered that phase
};

/// \brief Sums up a catalogue, so that two hosts can see whether they agree.
struct CatalogueDigest {
  std::uint64_t max_revision = 0;
  std::uint64_t hash = 0;  ///< over key, revision and content of all entries
};

using state::EntryVersion;

/// \brief One replaced part of an earlier text.
struct TextSplice {
  std::uint32_t offset = 0;   ///< in the earlier text, in bytes
  std::uint32_t removed = 0;  ///< bytes of the earlier text left out
  std::string inserted;       ///< stands in their place
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

/// \brief Heartbeat; carries rumours and the sender's digest.
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

/// \brief Tells how a PeerProbe ended.
struct PeerProbeResult {
  std::uint64_t sequence = 0;
  state::HostId target;
  std::uint64_t target_incarnation = 0;
  bool reachable = false;
};

/// \brief The sender stops; it takes no more work.
struct PeerGoodbye {};

/// \brief News to pass on at once, outside heartbeats.
struct PeerUpdates {
  std::vector<HostUpdate> host_updates;
  std::vector<ServerUpdate> server_updates;
};

/// \brief Versions that the sender has and the receiver may lack.
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

/// \brief Passes an action on to the host that issued its ticket.
struct PeerAction {
  std::uint64_t call = 0;    ///< the sender's number; stands in the result
  state::Endpoint reply_to;  ///< where the sender takes the result
  state::Action action;      ///< its deadline is the time that remains
};

/// \brief Tells how a PeerAction ended.
struct PeerActionResult {
  std::uint64_t call = 0;
  state::Ticket ticket;
  state::ActionReply reply;
};

using PeerMessage = std::variant<PeerPing, PeerPong, PeerProbe, PeerProbeResult,
                                 PeerGoodbye, PeerUpdates, PeerOffer, PeerPull,
                                 PeerPatches, PeerAction, PeerActionResult>;

/// \brief A message and who sent it.
struct PeerEnvelope {
  state::HostId from;
  std::uint64_t incarnation = 0;  ///< of the sender
  PeerMessage message;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_PEER_MESSAGE_H_
