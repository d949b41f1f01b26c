#ifndef BANYANKNOT_SRC_TRANSPORT_PEER_COUNTERS_H_
#define BANYANKNOT_SRC_TRANSPORT_PEER_COUNTERS_H_

#include <atomic>
#include <cstdint>

namespace banyanknot::transport::internal {

/// \brief Counters shared by all connections of a PeerTcpLink.
struct PeerCounters {
  std::atomic<std::uint64_t> messages_sent{0};
  std::atomic<std::uint64_t> bytes_sent{0};
  std::atomic<std::uint64_t> messages_received{0};
  std::atomic<std::uint64_t> messages_dropped{0};
  std::atomic<std::uint64_t> unknown_messages{0};
  std::atomic<std::uint64_t> bad_frames{0};
  std::atomic<std::uint64_t> connections_opened{0};
  std::atomic<std::uint64_t> connections_failed{0};
  std::atomic<std::uint64_t> connections_silent{0};
  std::atomic<std::uint64_t> connections_refused{0};
};

}  // namespace banyanknot::transport::internal

#endif  // BANYANKNOT_SRC_TRANSPORT_PEER_COUNTERS_H_
