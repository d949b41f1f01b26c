#include "banyanknot/protocol/peer_frame.h"

#include "banyanknot/protocol/peer_codec.h"
#include "banyanknot/state/util/assert.h"

namespace banyanknot::protocol {
namespace {

constexpr std::uint16_t kMagic = 0x6B62;
constexpr std::size_t kMagicOffset = 4;
constexpr std::size_t kVersionOffset = 6;
constexpr std::size_t kKindOffset = 7;
constexpr unsigned kBitsPerByte = 8;

void AppendNumber(std::string& bytes, std::uint32_t number, std::size_t size) {
  for (std::size_t index = 0; index < size; ++index) {
    bytes.push_back(static_cast<char>(number >> (kBitsPerByte * index)));
  }
}

std::uint32_t ReadNumber(std::string_view bytes, std::size_t offset,
                         std::size_t size) {
  std::uint32_t number = 0;
  for (std::size_t index = 0; index < size; ++index) {
    const std::uint8_t byte = static_cast<std::uint8_t>(bytes[offset + index]);
    number |= static_cast<std::uint32_t>(byte) << (kBitsPerByte * index);
  }
  return number;
}

std::optional<PeerFrameKind> FindKind(std::uint32_t number) {
  for (const state::EnumName<PeerFrameKind>& row : kPeerFrameKindNames) {
    if (static_cast<std::uint32_t>(row.value) == number) return row.value;
  }
  return std::nullopt;
}

}  // namespace

std::string EncodePeerFrame(PeerFrameKind kind, std::string_view payload) {
  BANYANKNOT_ASSERT(payload.size() <= kMaxPeerMessageBytes,
                    "check the size of the payload before framing it");
  std::string frame;
  frame.reserve(kPeerFrameHeaderBytes + payload.size());
  AppendNumber(frame, static_cast<std::uint32_t>(payload.size()), kMagicOffset);
  AppendNumber(frame, kMagic, kVersionOffset - kMagicOffset);
  AppendNumber(frame, kPeerFrameVersion, kKindOffset - kVersionOffset);
  AppendNumber(frame, static_cast<std::uint32_t>(kind),
               kPeerFrameHeaderBytes - kKindOffset);
  frame.append(payload);
  return frame;
}

state::Result<PeerFrameHeader, ProtocolError> DecodePeerFrameHeader(
    std::string_view bytes) {
  BANYANKNOT_ASSERT(bytes.size() == kPeerFrameHeaderBytes,
                    "pass exactly one frame header");
  if (ReadNumber(bytes, kMagicOffset, kVersionOffset - kMagicOffset) !=
      kMagic) {
    return ProtocolError{ProtocolErrorCode::kMalformed, "",
                         "wrong frame magic"};
  }
  if (ReadNumber(bytes, kVersionOffset, 1) != kPeerFrameVersion) {
    return ProtocolError{ProtocolErrorCode::kMalformed, "",
                         "unsupported frame version"};
  }
  const std::uint32_t size = ReadNumber(bytes, 0, kMagicOffset);
  if (size > kMaxPeerMessageBytes) {
    return ProtocolError{ProtocolErrorCode::kTooLarge, "",
                         "payload exceeds the maximum message size"};
  }
  return PeerFrameHeader{size, FindKind(ReadNumber(bytes, kKindOffset, 1))};
}

}  // namespace banyanknot::protocol
