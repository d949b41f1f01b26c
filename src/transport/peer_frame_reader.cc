#include "transport/peer_frame_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <string_view>
#include <utility>

namespace banyanknot::transport::internal {

namespace asio = boost::asio;

void PeerFrameReader::Read(std::shared_ptr<void> owner) {
  asio::async_read(
      this->socket, asio::buffer(this->header_bytes),
      [this, owner = std::move(owner)](const boost::system::error_code& error,
                                       std::size_t /*bytes*/) {
        if (error) {
          this->sink.OnReadFailed();
          return;
        }
        const state::Result<protocol::PeerFrameHeader, protocol::ProtocolError>
            decoded = protocol::DecodePeerFrameHeader(std::string_view(
                this->header_bytes.data(), this->header_bytes.size()));
        if (!state::IsOk(decoded)) {
          this->sink.OnBadFrame();
          return;
        }
        this->header = state::ValueOf(decoded);
        this->ReadPayload(owner);
      });
}

void PeerFrameReader::ReadPayload(std::shared_ptr<void> owner) {
  this->payload.resize(this->header.payload_bytes);
  asio::async_read(
      this->socket, asio::buffer(this->payload),
      [this, owner = std::move(owner)](const boost::system::error_code& error,
                                       std::size_t /*bytes*/) {
        if (error) {
          this->sink.OnReadFailed();
        } else if (this->Deliver()) {
          this->Read(owner);
        }
      });
}

bool PeerFrameReader::Deliver() {
  if (!this->header.kind) {
    this->sink.OnUnknownFrame();
    return true;
  }
  return this->sink.OnFrame(*this->header.kind, this->payload);
}

}  // namespace banyanknot::transport::internal
