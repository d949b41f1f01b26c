#include "protocol/peer_reader.h"

#include <string>
#include <utility>
#include <vector>

namespace banyanknot::protocol::internal {
namespace {

template <typename Table>
using Tables = flatbuffers::Vector<flatbuffers::Offset<Table>>;

std::string Read(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

/// Reads all items; leaves out those for which `read_one` returns nothing.
template <typename Item, typename Table>
std::vector<Item> ReadAll(const Tables<Table>* tables,
                          std::optional<Item> (*read_one)(const Table&)) {
  std::vector<Item> items;
  if (tables == nullptr) return items;
  items.reserve(tables->size());
  for (const Table* table : *tables) {
    std::optional<Item> item = read_one(*table);
    if (item) items.push_back(std::move(*item));
  }
  return items;
}

state::Endpoint Read(const wire::Endpoint* endpoint) {
  if (endpoint == nullptr) return {};
  return {Read(endpoint->address()), endpoint->port()};
}

state::ListedHost Read(const wire::ListedHost* host) {
  if (host == nullptr) return {};
  return {state::HostId(Read(host->id())),
          state::FailureDomainId(Read(host->domain())), Read(host->peer()),
          Read(host->caller()), host->leaving()};
}

coordination::CatalogueDigest Read(const wire::CatalogueDigest* digest) {
  if (digest == nullptr) return {};
  return {digest->max_revision(), digest->hash()};
}

std::optional<coordination::HostUpdate> ReadHostUpdate(
    const wire::HostRumour& host_update) {
  const std::optional<state::HostState> host_state =
      state::FindValue(state::kHostStateNames, Read(host_update.host_state()));
  if (!host_state || host_update.host() == nullptr) return std::nullopt;
  return coordination::HostUpdate{Read(host_update.host()),
                                  host_update.incarnation(), *host_state,
                                  host_update.refutation()};
}

std::optional<coordination::ServerUpdate> ReadServerUpdate(
    const wire::ServerNote& server_update) {
  const std::optional<state::ServerPhase> phase =
      state::FindValue(state::kServerPhaseNames, Read(server_update.phase()));
  if (!phase) return std::nullopt;
  return coordination::ServerUpdate{
      state::ServerId(Read(server_update.server())),
      state::InstanceId(Read(server_update.instance())), *phase,
      state::Duration(server_update.age_ns())};
}

std::optional<coordination::EntryVersion> ReadVersion(
    const wire::EntryVersion& version) {
  return coordination::EntryVersion{Read(version.key()), version.revision(),
                                    version.content_hash()};
}

std::optional<coordination::TextSplice> ReadSplice(
    const wire::TextSplice& splice) {
  return coordination::TextSplice{splice.offset(), splice.removed(),
                                  Read(splice.inserted())};
}

std::optional<coordination::EntryPatch> ReadPatch(
    const wire::EntryPatch& patch) {
  return coordination::EntryPatch{
      Read(patch.key()),  patch.revision(),
      patch.deleted(),    patch.base_revision(),
      patch.base_hash(),  patch.content_hash(),
      Read(patch.text()), ReadAll(patch.splices(), &ReadSplice)};
}

std::optional<state::Record> ReadRecord(const wire::Record& record) {
  return state::Record{record.key(), Read(record.value())};
}

coordination::PeerPing ReadPing(const wire::Ping& ping) {
  return {ping.sequence(), Read(ping.sender()), Read(ping.digest()),
          ReadAll(ping.rumours(), &ReadHostUpdate),
          ReadAll(ping.notes(), &ReadServerUpdate)};
}

coordination::PeerPong ReadPong(const wire::Pong& pong) {
  return {pong.sequence(), Read(pong.digest()),
          ReadAll(pong.rumours(), &ReadHostUpdate),
          ReadAll(pong.notes(), &ReadServerUpdate)};
}

coordination::PeerProbeResult ReadProbeResult(const wire::ProbeResult& result) {
  return {result.sequence(), state::HostId(Read(result.target())),
          result.target_incarnation(), result.reachable()};
}

std::optional<coordination::PeerMessage> ReadAction(
    const wire::Action& message) {
  const std::optional<state::Ticket> ticket =
      state::TicketFromText(Read(message.ticket()));
  if (!ticket) return std::nullopt;
  state::Action action;
  action.ticket = *ticket;
  action.service = state::ServiceId(Read(message.service()));
  action.key = message.key();
  action.deadline = state::Duration(message.remaining_ns());
  action.ask = Read(message.ask());
  return coordination::PeerAction{message.call(), Read(message.reply_to()),
                                  std::move(action)};
}

std::optional<coordination::PeerMessage> ReadActionResult(
    const wire::ActionResult& result) {
  const std::optional<state::Outcome> outcome =
      state::FindValue(state::kOutcomeNames, Read(result.outcome()));
  const std::optional<state::Ticket> ticket =
      state::TicketFromText(Read(result.ticket()));
  if (!ticket) return std::nullopt;
  // An outcome that a later release added doesn't tell whether the action ran.
  return coordination::PeerActionResult{
      result.call(),
      *ticket,
      {outcome.value_or(state::Outcome::kUnknown), Read(result.reason()),
       ReadAll(result.records(), &ReadRecord),
       state::Duration(result.retry_after_ns())}};
}

}  // namespace

std::optional<coordination::PeerMessage> ReadBody(
    const wire::Envelope& envelope) {
  if (envelope.body() == nullptr) return std::nullopt;
  switch (envelope.body_type()) {
    case wire::Body_Ping:
      return ReadPing(*envelope.body_as_Ping());
    case wire::Body_Pong:
      return ReadPong(*envelope.body_as_Pong());
    case wire::Body_Probe:
      return coordination::PeerProbe{envelope.body_as_Probe()->sequence(),
                                     Read(envelope.body_as_Probe()->target())};
    case wire::Body_ProbeResult:
      return ReadProbeResult(*envelope.body_as_ProbeResult());
    case wire::Body_Goodbye:
      return coordination::PeerGoodbye{};
    case wire::Body_News:
      return coordination::PeerUpdates{
          ReadAll(envelope.body_as_News()->rumours(), &ReadHostUpdate),
          ReadAll(envelope.body_as_News()->notes(), &ReadServerUpdate)};
    case wire::Body_Offer:
      return coordination::PeerOffer{
          ReadAll(envelope.body_as_Offer()->entries(), &ReadVersion)};
    case wire::Body_Pull:
      return coordination::PeerPull{
          ReadAll(envelope.body_as_Pull()->have(), &ReadVersion)};
    case wire::Body_Patches:
      return coordination::PeerPatches{
          ReadAll(envelope.body_as_Patches()->patches(), &ReadPatch)};
    case wire::Body_Action:
      return ReadAction(*envelope.body_as_Action());
    case wire::Body_ActionResult:
      return ReadActionResult(*envelope.body_as_ActionResult());
    case wire::Body_NONE:
      break;
  }
  return std::nullopt;
}

}  // namespace banyanknot::protocol::internal
