#include "banyanknot/protocol/peer_codec.h"

#include <cstdint>
#include <optional>
#include <utility>

#include "protocol/peer_reader.h"
#include "protocol/peer_writer.h"

namespace banyanknot::protocol {

std::string EncodePeer(const coordination::PeerEnvelope& envelope) {
  return internal::PeerWriter().Write(envelope);
}

state::Result<coordination::PeerEnvelope, ProtocolError> DecodePeer(
    std::string_view bytes) {
  if (bytes.size() > kMaxPeerMessageBytes) {
    return ProtocolError{ProtocolErrorCode::kTooLarge, "",
                         "exceeds the maximum message size"};
  }
  // FlatBuffers reads numbers in place and needs an aligned buffer.
  const std::string aligned(bytes);
  const std::uint8_t* data =
      reinterpret_cast<const std::uint8_t*>(aligned.data());
  flatbuffers::Verifier verifier(data, aligned.size());
  if (!wire::VerifyEnvelopeBuffer(verifier)) {
    return ProtocolError{ProtocolErrorCode::kMalformed, "",
                         "is not a valid envelope"};
  }
  const wire::Envelope& envelope = *wire::GetEnvelope(data);
  if (envelope.body_type() > wire::Body_MAX) {
    return ProtocolError{ProtocolErrorCode::kUnknownName, "/body",
                         "message kind is unknown to this release"};
  }
  std::optional<coordination::PeerMessage> message =
      internal::ReadBody(envelope);
  if (!message || envelope.from() == nullptr || envelope.from()->size() == 0) {
    return ProtocolError{ProtocolErrorCode::kMalformed, "",
                         "a required field is missing"};
  }
  return coordination::PeerEnvelope{state::HostId(envelope.from()->str()),
                                    envelope.incarnation(),
                                    std::move(*message)};
}

}  // namespace banyanknot::protocol
