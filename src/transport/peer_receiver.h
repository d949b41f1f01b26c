#ifndef BANYANKNOT_SRC_TRANSPORT_PEER_RECEIVER_H_
#define BANYANKNOT_SRC_TRANSPORT_PEER_RECEIVER_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "banyanknot/coordination/peer_link.h"
#include "banyanknot/transport/peer_tcp_link.h"
#include "transport/peer_counters.h"
#include "transport/peer_frame_reader.h"

namespace banyanknot::transport::internal {

/// \brief Receives messages on a connection that another host opened.
///
/// Start() and Close() are thread-safe; the rest runs on the socket's strand.
class PeerReceiver : public PeerFrameSink,
                     public std::enable_shared_from_this<PeerReceiver> {
 public:
  using ClosedHandler = std::function<void(std::shared_ptr<PeerReceiver>)>;

  /// \param on_closed called once after the connection was closed
  PeerReceiver(boost::asio::ip::tcp::socket socket,
               coordination::PeerHandler& handler, const PeerLinkLimits& limits,
               std::shared_ptr<PeerCounters> counters, ClosedHandler on_closed);

  void Start();
  void Close();

 private:
  bool OnFrame(protocol::PeerFrameKind kind,
               const std::string& payload) override;
  void OnUnknownFrame() override;
  void OnBadFrame() override;
  void OnReadFailed() override { this->CloseNow(); }
  bool Deliver(const std::string& payload);
  void ReplyToKeepAlive();
  void ScheduleReceiveCheck();
  void CloseNow();

  boost::asio::ip::tcp::socket socket;
  coordination::PeerHandler& handler;
  const PeerLinkLimits limits;
  const std::shared_ptr<PeerCounters> counters;
  ClosedHandler on_closed;
  PeerFrameReader reader;
  boost::asio::steady_timer check_timer;
  std::string keep_alive_reply;
  bool is_writing_reply = false;
  bool has_received_frame = true;  // since the last check
  bool is_closed = false;
};

}  // namespace banyanknot::transport::internal

#endif  // BANYANKNOT_SRC_TRANSPORT_PEER_RECEIVER_H_
