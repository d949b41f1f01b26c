#ifndef BANYANKNOT_TEST_TRANSPORT_PEER_LINK_FAKES_H_
#define BANYANKNOT_TEST_TRANSPORT_PEER_LINK_FAKES_H_

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <condition_variable>
#include <future>
#include <mutex>
#include <string>
#include <vector>

#include "banyanknot/coordination/peer_link.h"

namespace banyanknot::transport {

/// \brief Timeout of any wait in a test; no result depends on its length.
inline constexpr std::chrono::seconds kTestTimeout{20};

/// \brief Stores received messages and lets a test wait for them.
class CollectingPeerHandler : public coordination::PeerHandler {
 public:
  void OnPeerMessage(const coordination::PeerEnvelope& envelope) override {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->envelopes.push_back(envelope);
    this->arrived.notify_all();
  }

  /// \returns whether `count` messages arrived within the test timeout
  bool WaitFor(std::size_t count) {
    std::unique_lock<std::mutex> lock(this->mutex);
    return this->arrived.wait_for(lock, kTestTimeout, [this, count] {
      return this->envelopes.size() >= count;
    });
  }

  /// \brief Waits 20 ms for any message; for tests that resend lost messages.
  bool WaitBriefly() {
    std::unique_lock<std::mutex> lock(this->mutex);
    return this->arrived.wait_for(lock, std::chrono::milliseconds(20),
                                  [this] { return !this->envelopes.empty(); });
  }

  /// \brief Waits for a probe result with this sequence number.
  bool WaitForSequence(std::uint64_t sequence) {
    std::unique_lock<std::mutex> lock(this->mutex);
    return this->arrived.wait_for(lock, kTestTimeout, [this, sequence] {
      for (const coordination::PeerEnvelope& envelope : this->envelopes) {
        if (SequenceOf(envelope) == sequence) return true;
      }
      return false;
    });
  }

  std::vector<std::uint64_t> Sequences() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<std::uint64_t> sequences;
    for (const coordination::PeerEnvelope& envelope : this->envelopes) {
      sequences.push_back(SequenceOf(envelope));
    }
    return sequences;
  }

  std::vector<coordination::PeerEnvelope> Envelopes() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->envelopes;
  }

 private:
  static std::uint64_t SequenceOf(const coordination::PeerEnvelope& envelope) {
    const coordination::PeerProbeResult* result =
        std::get_if<coordination::PeerProbeResult>(&envelope.message);
    return result == nullptr ? 0 : result->sequence;
  }

  std::mutex mutex;
  std::condition_variable arrived;
  std::vector<coordination::PeerEnvelope> envelopes;
};

/// \brief Returns a small message that its sequence number identifies.
inline coordination::PeerMessage Numbered(std::uint64_t sequence) {
  return coordination::PeerProbeResult{sequence, state::HostId("t"), 1, true};
}

/// \brief Reads until the peer closes; answers each byte with `answer`.
/// \returns false if the peer did not close within the test timeout
inline bool IsClosedByPeer(boost::asio::ip::tcp::socket& socket,
                           const std::string& answer) {
  std::future<void> closed = std::async(std::launch::async, [&] {
    char byte = 0;
    boost::system::error_code error;
    boost::system::error_code ignored;
    while (!error) {
      socket.read_some(boost::asio::buffer(&byte, 1), error);
      boost::asio::write(socket, boost::asio::buffer(answer), ignored);
    }
  });
  const bool in_time =
      closed.wait_for(kTestTimeout) == std::future_status::ready;
  boost::system::error_code ignored;
  if (!in_time) {
    socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
  }
  return in_time;
}

/// \brief A client socket that sends arbitrary bytes.
class RawSocket {
 public:
  explicit RawSocket(std::uint16_t port) : socket(this->context) {
    this->socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    this->socket.set_option(boost::asio::ip::tcp::no_delay(true));
  }

  void Write(const std::string& bytes) {
    boost::asio::write(this->socket, boost::asio::buffer(bytes));
  }

  /// \brief Reads exactly `size` bytes.
  std::string Read(std::size_t size) {
    std::string bytes(size, '\0');
    boost::asio::read(this->socket, boost::asio::buffer(bytes));
    return bytes;
  }

  /// \brief Waits for the peer to close.
  bool IsClosedByPeer() { return transport::IsClosedByPeer(this->socket, ""); }

 private:
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket;
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TEST_TRANSPORT_PEER_LINK_FAKES_H_
