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
                           ClosedHandler closed)
    : socket(std::move(socket)),
      handler(handler),
      limits(limits),
      counters(std::move(counters)),
      closed(std::move(closed)),
      reader(this->socket, *this),
      check_timer(this->socket.get_executor()),
      keep_alive_reply(protocol::EncodePeerFrame(
          protocol::PeerFrameKind::kKeepAliveReply, "")) {}

void PeerReceiver::Start() {
  asio::dispatch(this->socket.get_executor(),
                 [self = this->shared_from_this()] {
                   if (self->is_closed) return;
                   self->reader.Read(self);
                   self->CheckLater();
                 });
}

void PeerReceiver::Close() {
  asio::dispatch(this->socket.get_executor(),
                 [self = this->shared_from_this()] { self->CloseNow(); });
}

bool PeerReceiver::OnFrame(protocol::PeerFrameKind kind,
                           const std::string& payload) {
  if (this->is_closed) return false;
  this->is_heard = true;
  switch (kind) {
    case protocol::PeerFrameKind::kMessage:
      return this->Deliver(payload);
    case protocol::PeerFrameKind::kKeepAlive:
      this->AnswerKeepAlive();
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

void PeerReceiver::AnswerKeepAlive() {
  if (this->is_replying) return;  // one reply answers several
  this->is_replying = true;
  asio::async_write(
      this->socket, asio::buffer(this->keep_alive_reply),
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        std::size_t /*bytes*/) {
        self->is_replying = false;
        if (error) self->CloseNow();
      });
}

void PeerReceiver::OnUnknownFrame() {
  this->is_heard = true;
  ++this->counters->unknown_messages;
}

void PeerReceiver::OnBadFrame() {
  ++this->counters->bad_frames;
  this->CloseNow();
}

void PeerReceiver::CheckLater() {
  this->check_timer.expires_after(this->limits.receive_check);
  this->check_timer.async_wait([self = this->shared_from_this()](
                                   const boost::system::error_code& error) {
    if (error || self->is_closed) return;
    if (!self->is_heard) {
      ++self->counters->connections_silent;
      self->CloseNow();
      return;
    }
    self->is_heard = false;
    self->CheckLater();
  });
}

void PeerReceiver::CloseNow() {
  if (this->is_closed) return;
  this->is_closed = true;
  boost::system::error_code ignored;
  this->check_timer.cancel();
  this->socket.close(ignored);
  this->closed(this->shared_from_this());
}

}  // namespace banyanknot::transport::internal
