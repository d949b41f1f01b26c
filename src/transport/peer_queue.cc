#include "transport/peer_queue.h"

#include <utility>

namespace banyanknot::transport::internal {

std::size_t PeerQueue::Push(std::string frame) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->bytes += frame.size();
  this->frames.push_back(std::move(frame));
  std::size_t dropped = 0;
  while (this->frames.size() > 1 && (this->frames.size() > this->max_frames ||
                                     this->bytes > this->max_bytes)) {
    this->bytes -= this->frames.front().size();
    this->frames.pop_front();
    ++dropped;
  }
  return dropped;
}

std::optional<std::string> PeerQueue::Pop() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->frames.empty()) return std::nullopt;
  std::string frame = std::move(this->frames.front());
  this->frames.pop_front();
  this->bytes -= frame.size();
  return frame;
}

std::size_t PeerQueue::Clear() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::size_t dropped = this->frames.size();
  this->frames.clear();
  this->bytes = 0;
  return dropped;
}

bool PeerQueue::IsEmpty() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->frames.empty();
}

}  // namespace banyanknot::transport::internal
