#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <utility>

#include "transport/connect_from.h"
#include "transport/peer_channel.h"

namespace banyanknot::transport::internal {

namespace asio = boost::asio;
using asio::ip::tcp;

PeerChannelConnection::PeerChannelConnection(
    std::shared_ptr<PeerChannel> channel)
    : channel(std::move(channel)),
      socket(this->channel->strand),
      reader(this->socket, *this),
      timer(this->channel->strand) {}

void PeerChannelConnection::Connect() {
  boost::system::error_code error;
  const asio::ip::address address =
      asio::ip::make_address(this->channel->peer.address, error);
  const tcp::endpoint endpoint(address, this->channel->peer.port);
  if (!error) {
    OpenBoundSocket(this->channel->limits.connect_from, endpoint.protocol(),
                    this->socket, error);
  }
  if (error) {
    this->channel->OnConnectFailed();
    this->Close();
    return;
  }
  this->timer.expires_after(this->channel->limits.connect_timeout);
  this->timer.async_wait([self = this->shared_from_this()](
                             const boost::system::error_code& wait_error) {
    if (wait_error || self->is_connected || self->is_closed) return;
    boost::system::error_code ignored;
    self->socket.close(ignored);  // fails the pending connect
  });
  this->socket.async_connect(
      endpoint, [self = this->shared_from_this()](
                    const boost::system::error_code& connect_error) {
        if (self->is_closed) return;
        if (connect_error) {
          self->channel->OnConnectFailed();
          self->Close();
        } else {
          self->OnConnected();
        }
      });
}

void PeerChannelConnection::OnConnected() {
  this->is_connected = true;
  ++this->channel->counters->connections_opened;
  boost::system::error_code ignored;
  this->socket.set_option(tcp::no_delay(true), ignored);
  this->reader.Read(this->shared_from_this());
  this->ScheduleKeepAlive();
  this->Pump();
}

void PeerChannelConnection::Pump() {
  if (!this->is_connected || this->is_writing || this->is_closed) return;
  if (this->is_keep_alive_due) {
    this->is_keep_alive_due = false;
    this->Write(
        protocol::EncodePeerFrame(protocol::PeerFrameKind::kKeepAlive, ""));
    return;
  }
  std::optional<std::string> frame = this->channel->queue.Pop();
  if (!frame) return;
  this->idle_time = state::Duration(0);
  ++this->channel->counters->messages_sent;
  this->Write(std::move(*frame));
}

void PeerChannelConnection::Write(std::string frame) {
  this->is_writing = true;
  this->writing = std::move(frame);
  this->channel->counters->bytes_sent += this->writing.size();
  asio::async_write(
      this->socket, asio::buffer(this->writing),
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        std::size_t /*bytes*/) {
        self->is_writing = false;
        if (error) {
          self->Close();
        } else {
          self->Pump();
        }
      });
}

bool PeerChannelConnection::OnFrame(protocol::PeerFrameKind kind,
                                    const std::string& /*payload*/) {
  if (kind == protocol::PeerFrameKind::kKeepAliveReply) {
    this->unanswered_keep_alives = 0;
  }
  return !this->is_closed;
}

void PeerChannelConnection::OnBadFrame() {
  ++this->channel->counters->bad_frames;
  this->Close();
}

void PeerChannelConnection::ScheduleKeepAlive() {
  this->timer.expires_after(this->channel->limits.keep_alive_interval);
  this->timer.async_wait([self = this->shared_from_this()](
                             const boost::system::error_code& error) {
    if (!error && !self->is_closed) self->OnKeepAliveTimer();
  });
}

void PeerChannelConnection::OnKeepAliveTimer() {
  if (this->unanswered_keep_alives >=
      this->channel->limits.max_unanswered_keep_alives) {
    ++this->channel->counters->connections_silent;
    this->Close();
    return;
  }
  this->idle_time += this->channel->limits.keep_alive_interval;
  if (this->idle_time >= this->channel->limits.idle_timeout) {
    this->Close();
    return;
  }
  ++this->unanswered_keep_alives;
  this->is_keep_alive_due = true;
  this->Pump();
  this->ScheduleKeepAlive();
}

void PeerChannelConnection::Close() {
  if (this->is_closed) return;
  this->is_closed = true;
  boost::system::error_code ignored;
  this->timer.cancel();
  this->socket.close(ignored);
  this->channel->OnConnectionEnded(this);
}

}  // namespace banyanknot::transport::internal
