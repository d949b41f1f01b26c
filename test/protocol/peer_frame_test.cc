#include "banyanknot/protocol/peer_frame.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "banyanknot/protocol/peer_codec.h"

namespace banyanknot::protocol {
namespace {

TEST_CASE("A frame consists of its header and its payload") {
  const std::string frame = EncodePeerFrame(PeerFrameKind::kMessage, "abc");
  CHECK(frame == std::string("\x03\0\0\0bk\x01\0abc", 11));
  const state::Result<PeerFrameHeader, ProtocolError> header =
      DecodePeerFrameHeader(frame.substr(0, kPeerFrameHeaderBytes));
  REQUIRE(state::IsOk(header));
  CHECK(state::ValueOf(header).payload_bytes == 3);
  CHECK(state::ValueOf(header).kind == PeerFrameKind::kMessage);
}

TEST_CASE("DecodePeerFrameHeader rejects invalid headers") {
  struct Row {
    const char* name;
    std::string bytes;
    ProtocolErrorCode code;
  };
  const std::vector<Row> rows = {
      {"zeros", std::string(8, '\0'), ProtocolErrorCode::kMalformed},
      {"HTTP", "GET / HT", ProtocolErrorCode::kMalformed},
      {"version 2", std::string("\x03\0\0\0bk\x02\0", 8),
       ProtocolErrorCode::kMalformed},
      {"too large",
       std::string("\xff\xff\xff\x7f"
                   "bk\x01\0",
                   8),
       ProtocolErrorCode::kTooLarge},
      {"one byte too large", std::string("\x01\0\x11\0bk\x01\0", 8),
       ProtocolErrorCode::kTooLarge},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    const state::Result<PeerFrameHeader, ProtocolError> header =
        DecodePeerFrameHeader(row.bytes);
    REQUIRE(!state::IsOk(header));
    CHECK(NameOf(state::ErrorOf(header).code) == NameOf(row.code));
  }
}

TEST_CASE("The maximum payload size and an unknown kind are accepted") {
  const state::Result<PeerFrameHeader, ProtocolError> largest =
      DecodePeerFrameHeader(std::string("\0\0\x11\0bk\x01\0", 8));
  REQUIRE(state::IsOk(largest));
  CHECK(state::ValueOf(largest).payload_bytes == kMaxPeerMessageBytes);
  const state::Result<PeerFrameHeader, ProtocolError> later =
      DecodePeerFrameHeader(std::string("\0\0\0\0bk\x01\x09", 8));
  REQUIRE(state::IsOk(later));
  CHECK(!state::ValueOf(later).kind);
}

}  // namespace
}  // namespace banyanknot::protocol
