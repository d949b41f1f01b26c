#ifndef BANYANKNOT_STANDINS_SLOT_TABLE_H_
#define BANYANKNOT_STANDINS_SLOT_TABLE_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_map>

#include "banyanknot/state/sub_request.h"
#include "banyanknot/transport/http_server.h"

namespace banyanknot::standins {

/// \brief A sub-request that a stand-in took and has not answered yet.
struct Job {
  state::SubRequest request;
  std::shared_ptr<transport::HttpExchange> exchange;
  std::uint64_t generation = 0;  ///< of the instance that took it
  bool is_running = false;
};

/// \brief The slots of one stand-in and the queue before them.
///
/// Not thread-safe; its owner locks.
class SlotTable {
 public:
  std::uint32_t Running() const { return this->running; }
  std::uint32_t Queued() const {
    return static_cast<std::uint32_t>(this->queue.size());
  }

  /// \brief Jobs that `generation` took and has not answered.
  std::uint32_t InProgress(std::uint64_t generation) const;

  void Enqueue(std::shared_ptr<Job> job);

  /// \brief Gives the first job of the queue a slot, if one of `slots` is free.
  /// \returns null if none is free or nothing waits
  std::shared_ptr<Job> StartNext(std::uint32_t slots);

  /// \brief Forgets a job that ends now.
  /// \returns false if it had ended before
  bool Finish(const std::shared_ptr<Job>& job);

  /// \brief Finds a job by request and attempt; null if there is none.
  std::shared_ptr<Job> Find(const state::RequestId& request,
                            std::uint32_t attempt) const;

 private:
  std::uint32_t running = 0;
  std::deque<std::shared_ptr<Job>> queue;
  std::unordered_multimap<state::RequestId, std::shared_ptr<Job>> jobs;
};

}  // namespace banyanknot::standins

#endif  // BANYANKNOT_STANDINS_SLOT_TABLE_H_
