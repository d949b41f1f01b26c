#ifndef BANYANKNOT_SRC_TRANSPORT_PEER_FRAME_READER_H_
#define BANYANKNOT_SRC_TRANSPORT_PEER_FRAME_READER_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "banyanknot/protocol/peer_frame.h"

namespace banyanknot::transport::internal {

/// \brief Takes the frames that a PeerFrameReader reads.
class PeerFrameSink {
 public:
  virtual ~PeerFrameSink() = default;
  /// \returns false if the connection must not be read any more
  virtual bool OnFrame(protocol::PeerFrameKind kind,
                       const std::string& payload) = 0;
  /// \brief A frame of a kind that only later releases know was skipped.
  virtual void OnUnknownFrame() = 0;
  /// \brief A header could not be read; nothing more will be.
  virtual void OnBadFrame() = 0;
  /// \brief The connection failed or was closed; nothing more will be read.
  virtual void OnReadFailed() = 0;
};

/// \brief Reads frames from a socket until it fails.
///
/// Runs on the socket's strand.
class PeerFrameReader {
 public:
  PeerFrameReader(boost::asio::ip::tcp::socket& socket, PeerFrameSink& sink)
      : socket(socket), sink(sink) {}

  /// \param owner keeps the socket, the sink and this alive meanwhile
  void Read(std::shared_ptr<void> owner);

 private:
  void ReadPayload(std::shared_ptr<void> owner);
  /// \returns whether to go on reading
  bool Deliver();

  boost::asio::ip::tcp::socket& socket;
  PeerFrameSink& sink;
  std::array<char, protocol::kPeerFrameHeaderBytes> header_bytes{};
  protocol::PeerFrameHeader header;
  std::string payload;
};

}  // namespace banyanknot::transport::internal

#endif  // BANYANKNOT_SRC_TRANSPORT_PEER_FRAME_READER_H_
