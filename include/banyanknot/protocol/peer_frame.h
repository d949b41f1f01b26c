#ifndef BANYANKNOT_PROTOCOL_PEER_FRAME_H_
#define BANYANKNOT_PROTOCOL_PEER_FRAME_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "banyanknot/protocol/protocol_error.h"
#include "banyanknot/state/enum_names.h"
#include "banyanknot/state/result.h"

namespace banyanknot::protocol {

/// \brief Kind of a frame between hosts; the header carries the number.
enum class PeerFrameKind : std::uint8_t {
  kMessage = 0,         ///< an encoded PeerEnvelope
  kKeepAlive = 1,       ///< requests a kKeepAliveReply
  kKeepAliveReply = 2,  ///< shows that the connection still works
};

/// \brief Names of PeerFrameKind, as they stand in messages and logs.
inline constexpr std::array<state::EnumName<PeerFrameKind>, 3>
    kPeerFrameKindNames{{
        {PeerFrameKind::kMessage, "message"},
        {PeerFrameKind::kKeepAlive, "keep_alive"},
        {PeerFrameKind::kKeepAliveReply, "keep_alive_reply"},
    }};

/// \brief Returns the name of a PeerFrameKind.
constexpr std::string_view NameOf(PeerFrameKind value) {
  return state::FindName(kPeerFrameKindNames, value);
}

/// \brief Size of the header before each payload, in bytes.
inline constexpr std::size_t kPeerFrameHeaderBytes = 8;
/// \brief Version of the frame format that this release reads and writes.
inline constexpr std::uint8_t kPeerFrameVersion = 1;

/// \brief Header of a frame between hosts.
struct PeerFrameHeader {
  std::size_t payload_bytes = 0;
  std::optional<PeerFrameKind> kind;  ///< empty if of a later release
};

/// \brief Encodes a frame: header and `payload`.
/// \pre payload.size() <= kMaxPeerMessageBytes
std::string EncodePeerFrame(PeerFrameKind kind, std::string_view payload);

/// \brief Decodes the header of a frame.
/// \returns the header; kMalformed for another magic or version; kTooLarge if
///     the payload exceeds kMaxPeerMessageBytes
/// \pre bytes.size() == kPeerFrameHeaderBytes
state::Result<PeerFrameHeader, ProtocolError> DecodePeerFrameHeader(
    std::string_view bytes);

}  // namespace banyanknot::protocol

#endif  // BANYANKNOT_PROTOCOL_PEER_FRAME_H_
