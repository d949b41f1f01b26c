#ifndef BANYANKNOT_SRC_TRANSPORT_PEER_QUEUE_H_
#define BANYANKNOT_SRC_TRANSPORT_PEER_QUEUE_H_

#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <string>

namespace banyanknot::transport::internal {

/// \brief Bounded queue of encoded frames for one peer.
///
/// Thread-safe. Drops the oldest frames beyond its limits: the protocol
/// tolerates loss, and the newest state is the most useful.
class PeerQueue {
 public:
  PeerQueue(std::size_t max_frames, std::size_t max_bytes)
      : max_frames(max_frames), max_bytes(max_bytes) {}

  /// \brief Appends a frame, which is kept even if it alone exceeds the limits.
  /// \returns the number of older frames dropped
  std::size_t Push(std::string frame);

  std::optional<std::string> Pop();

  /// \brief Drops all frames.
  /// \returns their number
  std::size_t Clear();

  bool IsEmpty() const;

 private:
  const std::size_t max_frames;
  const std::size_t max_bytes;
  mutable std::mutex mutex;
  std::deque<std::string> frames;
  std::size_t bytes = 0;
};

}  // namespace banyanknot::transport::internal

#endif  // BANYANKNOT_SRC_TRANSPORT_PEER_QUEUE_H_
