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

/// \brief Limits, timeouts and source address of a PeerTcpLink.
struct PeerLinkLimits {
  state::Duration keep_alive_interval = state::Milliseconds(1'000);
  /// An outgoing connection with more is silent and gets closed.
  std::size_t max_unanswered_keep_alives = 2;
  /// An outgoing connection without messages is closed after this time.
  state::Duration idle_timeout = state::Milliseconds(30'000);
  /// An incoming connection without a complete frame in such an interval is
  /// silent and gets closed.
  state::Duration receive_timeout = state::Milliseconds(5'000);
  state::Duration connect_timeout = state::Milliseconds(1'000);
  state::Duration reconnect_delay = state::Milliseconds(100);
  std::size_t max_queued_messages = 256;  ///< for each peer
  std::size_t max_queued_bytes = 4u << 20;
  std::size_t max_incoming = 2048;  ///< accepted connections
  /// Local IP address to connect from; empty to let the system choose.
  std::string connect_from;
};

/// \brief Counters of a PeerTcpLink since its start.
struct PeerLinkCounters {
  std::uint64_t messages_sent = 0;
  std::uint64_t bytes_sent = 0;  ///< including keep-alives
  std::uint64_t messages_received = 0;
  std::uint64_t messages_dropped = 0;  ///< queue full, too large, unreachable
  std::uint64_t unknown_messages = 0;  ///< of kinds of later releases
  std::uint64_t bad_frames = 0;        ///< each closed its connection
  std::uint64_t connections_opened = 0;
  std::uint64_t connections_failed = 0;
  std::uint64_t connections_silent = 0;   ///< closed as silent
  std::uint64_t connections_refused = 0;  ///< beyond max_incoming
};

/// \brief Exchanges peer messages as frames over TCP.
///
/// Thread-safe. Opens one connection to each peer on demand and checks its
/// liveness with keep-alives. Delivery is not guaranteed.
/// docs/INTERFACES-peers.md describes the frames and the limits.
class PeerTcpLink : public coordination::PeerLink,
                    public coordination::MetricSource {
 public:
  /// \param handler receives messages of other hosts; called on any thread
  PeerTcpLink(boost::asio::io_context& context,
              const state::HostIdentity& identity,
              coordination::PeerHandler& handler, const PeerLinkLimits& limits);
  ~PeerTcpLink() override;

  /// \brief Starts listening; port 0 selects any free port.
  /// \returns the port; kResolve or kListen on failure
  state::Result<std::uint16_t, TransportError> Listen(
      const state::Endpoint& endpoint);

  void Send(const state::Endpoint& peer,
            const coordination::PeerMessage& message) override;

  /// \brief Closes all connections; queued messages are dropped.
  void Shutdown();

  PeerLinkCounters Counters() const;
  void CollectMetrics(
      std::vector<coordination::MetricSample>& samples) const override;

  struct Impl;

 private:
  std::shared_ptr<Impl> impl;
};

}  // namespace banyanknot::transport

#endif  // BANYANKNOT_TRANSPORT_PEER_TCP_LINK_H_
