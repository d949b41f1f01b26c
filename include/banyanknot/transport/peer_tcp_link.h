#ifndef BANYANKNOT_TRANSPORT_PEER_TCP_LINK_H_
#define BANYANKNOT_TRANSPORT_PEER_TCP_LINK_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "banyanknot/coordination/metric_source.h"
#include "banyanknot/coordination/peer_link.h"
#include "banyanknot/state/host_record.h"
#include "banyanknot/state/result.h"
#include "banyanknot/transport/transport_error.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace banyanknot::transport {

/// \brief Bounds and times of a PeerTcpLink, and where it connects from.
struct PeerLinkLimits {
  state::Duration keep_alive_interval = state::Milliseconds(1'000);
  std::size_t max_unanswered_keep_alives =
      2;  ///< keep-alives before a replacement
  state::Duration idle_timeout =
      state::Milliseconds(30'000);  ///< opener's side
  state::Duration receive_timeout = state::Milliseconds(5'000);  ///< acceptor's
  state::Duration connect_timeout = state::Milliseconds(1'000);
  state::Duration reconnect_delay = state::Milliseconds(100);
  std::size_t max_queued_messages = 256;  ///< for each peer
  std::size_t max_queued_bytes = 4u << 20;
  std::size_t max_incoming = 2048;  ///< accepted connections
  std::string connect_from;  ///< IP number; empty to leave it to the system
};

/// \brief What a PeerTcpLink has counted since its start.
struct PeerLinkCounters {
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;  ///< of frames, keep-alives among them
  std::uint64_t messages_received = 0;
  std::uint64_t messages_dropped = 0;  ///< queue full, too large, unreachable
  std::uint64_t unknown_messages = 0;  ///< of kinds that later releases know
  std::uint64_t bad_frames = 0;        ///< each closed its connection
  std::uint64_t connections_opened = 0;
  std::uint64_t connections_failed = 0;
  std::uint64_t connections_silent = 0;   ///< replaced, or closed by acceptor
  std::uint64_t connections_refused = 0;  ///< beyond max_incoming
};

/// \brief Carries peer messages in TCP frames.
///
/// Thread-safe. One outgoing connection to each peer that there is something
/// for; liveness is checked on each connection. docs/INTERFACES-peers.md
/// describes the frames and the bounds.
class PeerTcpLink : public coordination::PeerLink,
                    public coordination::MetricSource {
 public:
  /// \param handler takes what other hosts send; called on any thread
  PeerTcpLink(boost::asio::io_context& context,
              const state::HostIdentity& identity,
              coordination::PeerHandler& handler, const PeerLinkLimits& limits);
  ~PeerTcpLink() override;

  /// \brief Starts to take connections; port 0 takes any free port.
  /// \returns the port; kResolve or kListen on failure
  state::Result<std::uint16_t, TransportError> Listen(
      const state::Endpoint& endpoint);

  void Send(const state::Endpoint& peer,
            const coordination::PeerMessage& message) override;

  /// \brief Closes every connection; what is queued is lost.
  void Shutdown();

  PeerLinkCounters Counters() const;
  void CollectMetrics(
      std::vector<coordination::MetricSample>& samples) const override;

  struct Impl;  ///< hidden from callers

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_PEER_TCP_LINK_H_
