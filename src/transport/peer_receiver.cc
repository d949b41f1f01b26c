#include "transport/peer_receiver.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "banyanknot/protocol/peer_codec.h"

namespace banyanknot::transport::internal {

namespace asio = boost::asio;

PeerReceiver::PeerReceiver(asio::ip::tcp::socket socket,
                           coordination::PeerHandler& handler,
                           const PeerLinkLimits& limits,
                           std::shared_ptr<PeerCounters> counters,
                           ClosedHandler on_closed)
    : socket(std::move(socket)),
      handler(handler),
      limits(limits),
      counters(std::move(counters)),
      on_closed(std::move(on_closed)),
      reader(this->socket, *this),
      check_timer(this->socket.get_executor()),
      keep_alive_reply(protocol::EncodePeerFrame(
          protocol::PeerFrameKind::kKeepAliveReply, "")) {}

void PeerReceiver::Start() {
  asio::dispatch(this->socket.get_executor(),
                 [self = this->shared_from_this()] {
                   if (self->is_closed) return;
                   self->reader.Read(self);
                   self->ScheduleReceiveCheck();
                 });
}

void PeerReceiver::Close() {
  asio::dispatch(this->socket.get_executor(),
                 [self = this->shared_from_this()] { self->CloseNow(); });
}

bool PeerReceiver::OnFrame(protocol::PeerFrameKind kind,
                           const std::string& payload) {
  if (this->is_closed) return false;
  this->has_received_frame = true;
  switch (kind) {
    case protocol::PeerFrameKind::kMessage:
      return this->Deliver(payload);
    case protocol::PeerFrameKind::kKeepAlive:
      this->ReplyToKeepAlive();
      break;
    case protocol::PeerFrameKind::kKeepAliveReply:
      break;
  }
  return true;
}

bool PeerReceiver::Deliver(const std::string& payload) {
  const state::Result<coordination::PeerEnvelope, protocol::ProtocolError>
      envelope = protocol::DecodePeer(payload);
  if (state::IsOk(envelope)) {
    ++this->counters->messages_received;
    this->handler.OnPeerMessage(state::ValueOf(envelope));
    return true;
  }
  if (state::ErrorOf(envelope).code ==
      protocol::ProtocolErrorCode::kUnknownName) {
    ++this->counters->unknown_messages;
    return true;
  }
  this->OnBadFrame();
  return false;
}

void PeerReceiver::ReplyToKeepAlive() {
  if (this->is_writing_reply) return;  // one reply acknowledges several
  this->is_writing_reply = true;
  asio::async_write(
      this->socket, asio::buffer(this->keep_alive_reply),
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        std::size_t /*bytes*/) {
        self->is_writing_reply = false;
        if (error) self->CloseNow();
      });
}

void PeerReceiver::OnUnknownFrame() {
  this->has_received_frame = true;
  ++this->counters->unknown_messages;
}

void PeerReceiver::OnBadFrame() {
  ++this->counters->bad_frames;
  this->CloseNow();
}

void PeerReceiver::ScheduleReceiveCheck() {
  this->check_timer.expires_after(this->limits.receive_timeout);
  this->check_timer.async_wait([self = this->shared_from_this()](
                                   const boost::system::error_code& error) {
    if (error || self->is_closed) return;
    if (!self->has_received_frame) {
      ++self->counters->connections_silent;
      self->CloseNow();
      return;
    }
    self->has_received_frame = false;
    self->ScheduleReceiveCheck();
  });
}

void PeerReceiver::CloseNow() {
  if (this->is_closed) return;
  this->is_closed = true;
  boost::system::error_code ignored;
  this->check_timer.cancel();
  this->socket.close(ignored);
  this->on_closed(this->shared_from_this());
}

}  // namespace banyanknot::transport::internal
