#include "transport/peer_channel.h"

#include <boost/asio/post.hpp>
#include <optional>
#include <utility>

namespace banyanknot::transport::internal {

namespace asio = boost::asio;

PeerChannel::PeerChannel(asio::io_context& context, state::Endpoint peer,
                         const PeerLinkLimits& limits,
                         std::shared_ptr<PeerCounters> counters,
                         IdleHandler on_idle)
    : strand(asio::make_strand(context)),
      peer(std::move(peer)),
      limits(limits),
      counters(std::move(counters)),
      on_idle(std::move(on_idle)),
      queue(limits.max_queued_messages, limits.max_queued_bytes),
      reconnect_timer(this->strand) {}

void PeerChannel::Send(std::string frame) {
  this->counters->messages_dropped += this->queue.Push(std::move(frame));
  asio::post(this->strand, [self = this->shared_from_this()] { self->Pump(); });
}

void PeerChannel::Close() {
  asio::post(this->strand, [self = this->shared_from_this()] {
    self->is_closed = true;
    self->reconnect_timer.cancel();
    self->counters->messages_dropped += self->queue.Clear();
    if (self->connection != nullptr) self->connection->Close();
  });
}

void PeerChannel::Pump() {
  if (this->is_closed || this->is_backing_off || this->queue.IsEmpty()) return;
  if (this->connection != nullptr) {
    this->connection->Pump();
    return;
  }
  const std::shared_ptr<PeerChannelConnection> opened =
      std::make_shared<PeerChannelConnection>(this->shared_from_this());
  this->connection = opened;
  opened->Connect();
}

void PeerChannel::OnConnectFailed() {
  ++this->counters->connections_failed;
  this->counters->messages_dropped += this->queue.Clear();
  this->is_backing_off = true;
  this->reconnect_timer.expires_after(this->limits.reconnect_delay);
  this->reconnect_timer.async_wait([self = this->shared_from_this()](
                                       const boost::system::error_code& error) {
    if (error) return;
    self->is_backing_off = false;
    self->PumpOrReportIdle();
  });
}

void PeerChannel::OnConnectionEnded(const PeerChannelConnection* ended) {
  if (this->connection.get() != ended) return;
  this->connection.reset();
  if (!this->is_closed && !this->is_backing_off) this->PumpOrReportIdle();
}

void PeerChannel::PumpOrReportIdle() {
  if (this->queue.IsEmpty()) {
    this->on_idle(this->shared_from_this());
  } else {
    this->Pump();
  }
}

}  // namespace banyanknot::transport::internal
