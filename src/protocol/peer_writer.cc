#include "protocol/peer_writer.h"

#include <variant>

namespace banyanknot::protocol::internal {

template <typename Table, typename Item>
PeerWriter::Tables<Table> PeerWriter::WriteAll(const std::vector<Item>& items) {
  std::vector<flatbuffers::Offset<Table>> offsets;
  offsets.reserve(items.size());
  for (const Item& item : items) offsets.push_back(this->Write(item));
  return this->builder.CreateVector(offsets);
}

std::string PeerWriter::Write(const coordination::PeerEnvelope& envelope) {
  const WrittenBody body = std::visit(
      [this](const auto& message) { return this->WriteBody(message); },
      envelope.message);
  this->builder.Finish(
      wire::CreateEnvelope(this->builder, this->Write(envelope.from.Text()),
                           envelope.incarnation, body.kind, body.offset));
  return {reinterpret_cast<const char*>(this->builder.GetBufferPointer()),
          this->builder.GetSize()};
}

PeerWriter::Text PeerWriter::Write(std::string_view text) {
  return this->builder.CreateString(text);
}

flatbuffers::Offset<wire::Endpoint> PeerWriter::Write(
    const state::Endpoint& endpoint) {
  return wire::CreateEndpoint(this->builder, this->Write(endpoint.address),
                              endpoint.port);
}

flatbuffers::Offset<wire::ListedHost> PeerWriter::Write(
    const state::ListedHost& host) {
  const Text id = this->Write(host.id.Text());
  const Text domain = this->Write(host.domain.Text());
  const flatbuffers::Offset<wire::Endpoint> peer = this->Write(host.peer);
  const flatbuffers::Offset<wire::Endpoint> caller = this->Write(host.caller);
  return wire::CreateListedHost(this->builder, id, domain, peer, caller,
                                host.leaving);
}

flatbuffers::Offset<wire::HostRumour> PeerWriter::Write(
    const coordination::HostUpdate& host_update) {
  const flatbuffers::Offset<wire::ListedHost> host =
      this->Write(host_update.host);
  const Text host_state = this->Write(NameOf(host_update.host_state));
  return wire::CreateHostRumour(this->builder, host, host_update.incarnation,
                                host_state, host_update.refutation);
}

flatbuffers::Offset<wire::ServerNote> PeerWriter::Write(
    const coordination::ServerUpdate& server_update) {
  const Text server = this->Write(server_update.server.Text());
  const Text instance = this->Write(server_update.instance.Text());
  const Text phase = this->Write(NameOf(server_update.phase));
  return wire::CreateServerNote(this->builder, server, instance, phase,
                                server_update.age.count());
}

flatbuffers::Offset<wire::CatalogueDigest> PeerWriter::Write(
    const coordination::CatalogueDigest& digest) {
  return wire::CreateCatalogueDigest(this->builder, digest.max_revision,
                                     digest.hash);
}

flatbuffers::Offset<wire::EntryVersion> PeerWriter::Write(
    const coordination::EntryVersion& version) {
  return wire::CreateEntryVersion(this->builder, this->Write(version.key),
                                  version.revision, version.content_hash);
}

flatbuffers::Offset<wire::TextSplice> PeerWriter::Write(
    const coordination::TextSplice& splice) {
  return wire::CreateTextSplice(this->builder, splice.offset, splice.removed,
                                this->Write(splice.inserted));
}

flatbuffers::Offset<wire::EntryPatch> PeerWriter::Write(
    const coordination::EntryPatch& patch) {
  const Text key = this->Write(patch.key);
  const Text text = this->Write(patch.text);
  const Tables<wire::TextSplice> splices =
      this->WriteAll<wire::TextSplice>(patch.splices);
  return wire::CreateEntryPatch(
      this->builder, key, patch.revision, patch.deleted, patch.base_revision,
      patch.base_hash, patch.content_hash, text, splices);
}

flatbuffers::Offset<wire::Record> PeerWriter::Write(
    const state::Record& record) {
  return wire::CreateRecord(this->builder, record.key,
                            this->Write(record.value));
}

WrittenBody PeerWriter::WriteBody(const coordination::PeerPing& message) {
  const flatbuffers::Offset<wire::ListedHost> sender =
      this->Write(message.sender);
  const flatbuffers::Offset<wire::CatalogueDigest> digest =
      this->Write(message.digest);
  const Tables<wire::HostRumour> host_updates =
      this->WriteAll<wire::HostRumour>(message.host_updates);
  const Tables<wire::ServerNote> server_updates =
      this->WriteAll<wire::ServerNote>(message.server_updates);
  return {wire::Body_Ping,
          wire::CreatePing(this->builder, message.sequence, sender, digest,
                           host_updates, server_updates)
              .Union()};
}

WrittenBody PeerWriter::WriteBody(const coordination::PeerPong& message) {
  const flatbuffers::Offset<wire::CatalogueDigest> digest =
      this->Write(message.digest);
  const Tables<wire::HostRumour> host_updates =
      this->WriteAll<wire::HostRumour>(message.host_updates);
  const Tables<wire::ServerNote> server_updates =
      this->WriteAll<wire::ServerNote>(message.server_updates);
  return {wire::Body_Pong,
          wire::CreatePong(this->builder, message.sequence, digest,
                           host_updates, server_updates)
              .Union()};
}

WrittenBody PeerWriter::WriteBody(const coordination::PeerProbe& message) {
  return {wire::Body_Probe, wire::CreateProbe(this->builder, message.sequence,
                                              this->Write(message.target))
                                .Union()};
}

WrittenBody PeerWriter::WriteBody(
    const coordination::PeerProbeResult& message) {
  return {wire::Body_ProbeResult,
          wire::CreateProbeResult(this->builder, message.sequence,
                                  this->Write(message.target.Text()),
                                  message.target_incarnation, message.reachable)
              .Union()};
}

WrittenBody PeerWriter::WriteBody(
    const coordination::PeerGoodbye& /*message*/) {
  return {wire::Body_Goodbye, wire::CreateGoodbye(this->builder).Union()};
}

WrittenBody PeerWriter::WriteBody(const coordination::PeerUpdates& message) {
  const Tables<wire::HostRumour> host_updates =
      this->WriteAll<wire::HostRumour>(message.host_updates);
  const Tables<wire::ServerNote> server_updates =
      this->WriteAll<wire::ServerNote>(message.server_updates);
  return {
      wire::Body_News,
      wire::CreateNews(this->builder, host_updates, server_updates).Union()};
}

WrittenBody PeerWriter::WriteBody(const coordination::PeerOffer& message) {
  return {wire::Body_Offer,
          wire::CreateOffer(this->builder,
                            this->WriteAll<wire::EntryVersion>(message.entries))
              .Union()};
}

WrittenBody PeerWriter::WriteBody(const coordination::PeerPull& message) {
  return {wire::Body_Pull,
          wire::CreatePull(this->builder,
                           this->WriteAll<wire::EntryVersion>(message.have))
              .Union()};
}

WrittenBody PeerWriter::WriteBody(const coordination::PeerPatches& message) {
  return {wire::Body_Patches,
          wire::CreatePatches(this->builder,
                              this->WriteAll<wire::EntryPatch>(message.patches))
              .Union()};
}

WrittenBody PeerWriter::WriteBody(const coordination::PeerAction& message) {
  const state::Action& action = message.action;
  const flatbuffers::Offset<wire::Endpoint> reply_to =
      this->Write(message.reply_to);
  const Text ticket = this->Write(ToText(action.ticket));
  const Text service = this->Write(action.service.Text());
  const Text ask = this->Write(action.ask);
  return {wire::Body_Action,
          wire::CreateAction(this->builder, message.call, reply_to, ticket,
                             service, action.key, action.deadline.count(), ask)
              .Union()};
}

WrittenBody PeerWriter::WriteBody(
    const coordination::PeerActionResult& message) {
  const state::ActionReply& reply = message.reply;
  const Text outcome = this->Write(NameOf(reply.outcome));
  const Text reason = this->Write(reply.reason);
  const Text ticket = this->Write(ToText(message.ticket));
  const Tables<wire::Record> records =
      this->WriteAll<wire::Record>(reply.records);
  return {wire::Body_ActionResult,
          wire::CreateActionResult(this->builder, message.call, outcome, reason,
                                   records, reply.retry_after.count(), ticket)
              .Union()};
}

}  // namespace banyanknot::protocol::internal
