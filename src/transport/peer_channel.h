#ifndef BANYANKNOT_SRC_TRANSPORT_PEER_CHANNEL_H_
#define BANYANKNOT_SRC_TRANSPORT_PEER_CHANNEL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <functional>
#include <memory>
#include <string>

#include "banyanknot/transport/peer_tcp_link.h"
#include "transport/peer_counters.h"
#include "transport/peer_frame_reader.h"
#include "transport/peer_queue.h"

namespace banyanknot::transport::internal {

class PeerChannelConnection;

/// \brief Sends frames to one peer; connects on demand.
///
/// Thread-safe. A connection with unanswered keep-alives is closed and replaced
/// when there is a frame to send. A connection without messages for the idle
/// timeout is closed.
class PeerChannel : public std::enable_shared_from_this<PeerChannel> {
 public:
  using IdleHandler = std::function<void(std::shared_ptr<PeerChannel>)>;

  /// \param on_idle called when no connection is open and no frame is queued
  PeerChannel(boost::asio::io_context& context, state::Endpoint peer,
              const PeerLinkLimits& limits,
              std::shared_ptr<PeerCounters> counters, IdleHandler on_idle);

  const state::Endpoint& Peer() const { return this->peer; }

  /// \brief Queues a frame; may be called after the idle handler.
  void Send(std::string frame);
  void Close();

 private:
  friend class PeerChannelConnection;

  void Pump();
  /// Sends queued frames; calls the idle handler if there are none.
  void PumpOrReportIdle();
  void OnConnectFailed();
  void OnConnectionEnded(const PeerChannelConnection* ended);

  boost::asio::strand<boost::asio::io_context::executor_type> strand;
  const state::Endpoint peer;
  const PeerLinkLimits limits;
  const std::shared_ptr<PeerCounters> counters;
  const IdleHandler on_idle;
  PeerQueue queue;
  boost::asio::steady_timer reconnect_timer;
  std::shared_ptr<PeerChannelConnection> connection;
  bool is_backing_off = false;  // after a failed connection
  bool is_closed = false;
};

/// \brief One TCP connection of a PeerChannel.
///
/// Runs on the channel's strand.
class PeerChannelConnection
    : public PeerFrameSink,
      public std::enable_shared_from_this<PeerChannelConnection> {
 public:
  explicit PeerChannelConnection(std::shared_ptr<PeerChannel> channel);

  void Connect();
  /// \brief Writes a due keep-alive or the next frame, unless a write is in
  /// progress.
  void Pump();
  void Close();

 private:
  bool OnFrame(protocol::PeerFrameKind kind,
               const std::string& payload) override;
  void OnUnknownFrame() override {}
  void OnBadFrame() override;
  void OnReadFailed() override { this->Close(); }
  void OnConnected();
  void Write(std::string frame);
  void ScheduleKeepAlive();
  void OnKeepAliveTimer();

  const std::shared_ptr<PeerChannel> channel;
  boost::asio::ip::tcp::socket socket;
  PeerFrameReader reader;
  boost::asio::steady_timer timer;
  std::string writing;
  state::Duration idle_time{0};            // since the last message
  std::size_t unanswered_keep_alives = 0;  // since the last reply
  bool is_keep_alive_due = false;
  bool is_writing = false;
  bool is_connected = false;
  bool is_closed = false;
};

}  // namespace banyanknot::transport::internal

#endif  // BANYANKNOT_SRC_TRANSPORT_PEER_CHANNEL_H_
