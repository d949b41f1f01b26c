#ifndef BANYANKNOT_SRC_TRANSPORT_PEER_FRAME_READER_H_
#define BANYANKNOT_SRC_TRANSPORT_PEER_FRAME_READER_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "banyanknot/protocol/peer_frame.h"

namespace banyanknot::transport::internal {

/// \brief Receives the frames of a PeerFrameReader.
class PeerFrameSink {
 public:
  virtual ~PeerFrameSink() = default;
  /// \returns false to stop reading
  virtual bool OnFrame(protocol::PeerFrameKind kind,
                       const std::string& payload) = 0;
  /// \brief Called after a frame of a kind of a later release was skipped.
  virtual void OnUnknownFrame() = 0;
  /// \brief Called if a header could not be decoded; reading stops.
  virtual void OnBadFrame() = 0;
  /// \brief Called if the connection failed or was closed; reading stops.
  virtual void OnReadFailed() = 0;
};

/// \brief Reads frames from a socket until an error.
///
/// Runs on the socket's strand.
class PeerFrameReader {
 public:
  PeerFrameReader(boost::asio::ip::tcp::socket& socket, PeerFrameSink& sink)
      : socket(socket), sink(sink) {}

  /// \param owner keeps the socket, the sink and this reader alive
  void Read(std::shared_ptr<void> owner);

 private:
  void ReadPayload(std::shared_ptr<void> owner);
  /// \returns whether to continue reading
  bool Deliver();

  boost::asio::ip::tcp::socket& socket;
  PeerFrameSink& sink;
  std::array<char, protocol::kPeerFrameHeaderBytes> header_bytes{};
  protocol::PeerFrameHeader header;
  std::string payload;
};

}  // namespace banyanknot::transport::internal

#endif  // BANYANKNOT_SRC_TRANSPORT_PEER_FRAME_READER_H_
