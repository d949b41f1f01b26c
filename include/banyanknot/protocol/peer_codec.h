#ifndef BANYANKNOT_PROTOCOL_PEER_CODEC_H_
#define BANYANKNOT_PROTOCOL_PEER_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "banyanknot/coordination/peer_message.h"
#include "banyanknot/protocol/protocol_error.h"
#include "banyanknot/state/result.h"

namespace banyanknot::protocol {

/// \brief Maximum size of a message between hosts, in bytes: the largest
/// catalogue entry (1 MiB) and the fields around it.
inline constexpr std::size_t kMaxPeerMessageBytes = (1u << 20) + (64u << 10);

/// \brief Encodes a message to another host as a FlatBuffer.
std::string EncodePeer(const coordination::PeerEnvelope& envelope);

/// \brief Verifies and decodes a message of another host.
///
/// \returns the message; kTooLarge; kMalformed if the verification fails or a
///     required field is missing; kUnknownName if the message is of a kind that
///     a later release added, which the receiver must ignore
state::Result<coordination::PeerEnvelope, ProtocolError> DecodePeer(
    std::string_view bytes);

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_PEER_CODEC_H_
