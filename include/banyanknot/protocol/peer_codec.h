#ifndef BANYANKNOT_PROTOCOL_PEER_CODEC_H_
#define BANYANKNOT_PROTOCOL_PEER_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "banyanknot/coordination/peer_message.h"
#include "banyanknot/protocol/protocol_error.h"
#include "banyanknot/state/result.h"

namespace banyanknot::protocol {

/// \brief Largest message between hosts: a catalogue entry and what is around.
inline constexpr std::size_t kMaxPeerMessageBytes = (1u << 20) + (64u << 10);

/// \brief Writes a message to another host in FlatBuffers.
std::string EncodePeer(const coordination::PeerEnvelope& envelope);

/// \brief Reads a message of another host; verifies it first.
///
/// \returns the message; kTooLarge; kMalformed if it can't be verified or a
///     part that it needs is missing; kUnknownName if it is of a kind that only
///     later releases know, which its receiver ignores
state::Result<coordination::PeerEnvelope, ProtocolError> DecodePeer(
    std::string_view bytes);

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_PEER_CODEC_H_
