#include "banyanknot/transport/peer_tcp_link.h"

#include <atomic>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <mutex>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "banyanknot/protocol/peer_codec.h"
#include "banyanknot/state/sharded_table.h"
#include "transport/open_acceptor.h"
#include "transport/peer_channel.h"
#include "transport/peer_counters.h"
#include "transport/peer_receiver.h"

namespace banyanknot::transport {

namespace asio = boost::asio;
using asio::ip::tcp;

struct PeerTcpLink::Impl : std::enable_shared_from_this<PeerTcpLink::Impl> {
  Impl(asio::io_context& context, const state::HostIdentity& identity,
       coordination::PeerHandler& handler, const PeerLinkLimits& limits)
      : context(context),
        identity(identity),
        handler(handler),
        limits(limits),
        acceptor(asio::make_strand(context)) {}

  std::shared_ptr<internal::PeerChannel> ChannelOf(const state::Endpoint& peer);
  std::shared_ptr<internal::PeerChannel> MakeChannel(
      const state::Endpoint& peer);
  void RemoveChannel(const std::shared_ptr<internal::PeerChannel>& channel);
  void AcceptNext();
  void OnAccepted(tcp::socket socket);

  asio::io_context& context;
  const state::HostIdentity identity;
  coordination::PeerHandler& handler;
  const PeerLinkLimits limits;
  // Shared with the connections, which may outlive the link.
  const std::shared_ptr<internal::PeerCounters> counters =
      std::make_shared<internal::PeerCounters>();
  tcp::acceptor acceptor;
  std::atomic<bool> is_shut_down{false};
  state::ShardedTable<std::string, std::shared_ptr<internal::PeerChannel>>
      channels;
  std::mutex mutex;
  std::unordered_set<std::shared_ptr<internal::PeerReceiver>> receivers;
};

std::shared_ptr<internal::PeerChannel> PeerTcpLink::Impl::ChannelOf(
    const state::Endpoint& peer) {
  const std::string key = ToText(peer);
  const std::optional<std::shared_ptr<internal::PeerChannel>> found =
      this->channels.Find(key);
  if (found) return *found;
  std::shared_ptr<internal::PeerChannel> created = this->MakeChannel(peer);
  if (this->channels.Insert(key, created)) return created;
  return this->channels.Find(key).value_or(created);
}

std::shared_ptr<internal::PeerChannel> PeerTcpLink::Impl::MakeChannel(
    const state::Endpoint& peer) {
  return std::make_shared<internal::PeerChannel>(
      this->context, peer, this->limits, this->counters,
      [weak = this->weak_from_this()](
          const std::shared_ptr<internal::PeerChannel>& channel) {
        const std::shared_ptr<Impl> self = weak.lock();
        if (self != nullptr) self->RemoveChannel(channel);
      });
}

void PeerTcpLink::Impl::RemoveChannel(
    const std::shared_ptr<internal::PeerChannel>& channel) {
  this->channels.Take(ToText(channel->Peer()));
}

void PeerTcpLink::Impl::AcceptNext() {
  this->acceptor.async_accept(
      asio::make_strand(this->context),
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        tcp::socket socket) {
        if (error == asio::error::operation_aborted || self->is_shut_down) {
          return;
        }
        if (!error) self->OnAccepted(std::move(socket));
        self->AcceptNext();
      });
}

void PeerTcpLink::Impl::OnAccepted(tcp::socket socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const std::shared_ptr<internal::PeerReceiver> receiver =
      std::make_shared<internal::PeerReceiver>(
          std::move(socket), this->handler, this->limits, this->counters,
          [weak = this->weak_from_this()](
              const std::shared_ptr<internal::PeerReceiver>& closed) {
            const std::shared_ptr<Impl> self = weak.lock();
            if (self == nullptr) return;
            const std::lock_guard<std::mutex> lock(self->mutex);
            self->receivers.erase(closed);
          });
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->receivers.size() >= this->limits.max_incoming) {
      ++this->counters->connections_refused;
      return;
    }
    this->receivers.insert(receiver);
  }
  receiver->Start();
}

PeerTcpLink::PeerTcpLink(asio::io_context& context,
                         const state::HostIdentity& identity,
                         coordination::PeerHandler& handler,
                         const PeerLinkLimits& limits)
    : impl(std::make_shared<Impl>(context, identity, handler, limits)) {}

PeerTcpLink::~PeerTcpLink() { this->Shutdown(); }

state::Result<std::uint16_t, TransportError> PeerTcpLink::Listen(
    const state::Endpoint& endpoint) {
  state::Result<std::uint16_t, TransportError> port =
      internal::OpenAcceptor(this->impl->acceptor, endpoint);
  if (state::IsOk(port)) this->impl->AcceptNext();
  return port;
}

void PeerTcpLink::Send(const state::Endpoint& peer,
                       const coordination::PeerMessage& message) {
  const std::string payload =
      protocol::EncodePeer({this->impl->identity.self.id,
                            this->impl->identity.incarnation, message});
  if (this->impl->is_shut_down ||
      payload.size() > protocol::kMaxPeerMessageBytes) {
    ++this->impl->counters->messages_dropped;
    return;
  }
  this->impl->ChannelOf(peer)->Send(
      protocol::EncodePeerFrame(protocol::PeerFrameKind::kMessage, payload));
}

void PeerTcpLink::Shutdown() {
  if (this->impl->is_shut_down.exchange(true)) return;
  asio::post(this->impl->acceptor.get_executor(), [impl = this->impl] {
    boost::system::error_code ignored;
    impl->acceptor.close(ignored);
  });
  std::vector<std::shared_ptr<internal::PeerChannel>> channels;
  this->impl->channels.ForEach(
      [&channels](const std::string& /*key*/,
                  const std::shared_ptr<internal::PeerChannel>& channel) {
        channels.push_back(channel);
      });
  for (const std::shared_ptr<internal::PeerChannel>& channel : channels) {
    channel->Close();
  }
  std::unordered_set<std::shared_ptr<internal::PeerReceiver>> receivers;
  {
    const std::lock_guard<std::mutex> lock(this->impl->mutex);
    receivers = this->impl->receivers;
  }
  for (const std::shared_ptr<internal::PeerReceiver>& receiver : receivers) {
    receiver->Close();
  }
}

PeerLinkCounters PeerTcpLink::Counters() const {
  const internal::PeerCounters& counters = *this->impl->counters;
  return {counters.messages_sent,      counters.bytes_sent,
          counters.messages_received,  counters.messages_dropped,
          counters.unknown_messages,   counters.bad_frames,
          counters.connections_opened, counters.connections_failed,
          counters.connections_silent, counters.connections_refused};
}

}  // namespace banyanknot::transport
