#ifndef BANYANKNOT_SRC_PROTOCOL_PEER_WRITER_H_
#define BANYANKNOT_SRC_PROTOCOL_PEER_WRITER_H_

#include <string>
#include <string_view>
#include <vector>

#include "banyanknot/coordination/peer_message.h"
#include "protocol/peer_generated.h"

namespace banyanknot::protocol::internal {

/// \brief Kind and offset of a message body in the builder's buffer.
struct WrittenBody {
  wire::Body kind;
  flatbuffers::Offset<void> offset;
};

/// \brief Encodes one peer message as a FlatBuffer.
///
/// Not thread-safe.
class PeerWriter {
 public:
  /// \brief Returns the encoded envelope. Call at most once for each writer.
  std::string Write(const coordination::PeerEnvelope& envelope);

 private:
  using Text = flatbuffers::Offset<flatbuffers::String>;
  template <typename Table>
  using Tables =
      flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<Table>>>;

  Text Write(std::string_view text);
  flatbuffers::Offset<wire::Endpoint> Write(const state::Endpoint& endpoint);
  flatbuffers::Offset<wire::ListedHost> Write(const state::ListedHost& host);
  flatbuffers::Offset<wire::HostRumour> Write(
      const coordination::HostUpdate& host_update);
  flatbuffers::Offset<wire::ServerNote> Write(
      const coordination::ServerUpdate& server_update);
  flatbuffers::Offset<wire::CatalogueDigest> Write(
      const coordination::CatalogueDigest& digest);
  flatbuffers::Offset<wire::EntryVersion> Write(
      const coordination::EntryVersion& version);
  flatbuffers::Offset<wire::TextSplice> Write(
      const coordination::TextSplice& splice);
  flatbuffers::Offset<wire::EntryPatch> Write(
      const coordination::EntryPatch& patch);
  flatbuffers::Offset<wire::Record> Write(const state::Record& record);

  WrittenBody WriteBody(const coordination::PeerPing& message);
  WrittenBody WriteBody(const coordination::PeerPong& message);
  WrittenBody WriteBody(const coordination::PeerProbe& message);
  WrittenBody WriteBody(const coordination::PeerProbeResult& message);
  WrittenBody WriteBody(const coordination::PeerGoodbye& message);
  WrittenBody WriteBody(const coordination::PeerUpdates& message);
  WrittenBody WriteBody(const coordination::PeerOffer& message);
  WrittenBody WriteBody(const coordination::PeerPull& message);
  WrittenBody WriteBody(const coordination::PeerPatches& message);
  WrittenBody WriteBody(const coordination::PeerAction& message);
  WrittenBody WriteBody(const coordination::PeerActionResult& message);

  template <typename Table, typename Item>
  Tables<Table> WriteAll(const std::vector<Item>& items);

  flatbuffers::FlatBufferBuilder builder;
};

}  // namespace banyanknot::protocol::internal

#endif  // BANYANKNOT_SRC_PROTOCOL_PEER_WRITER_H_
