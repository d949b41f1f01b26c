#ifndef BANYANKNOT_COORDINATION_ROUTING_RELAY_PARTS_H_
#define BANYANKNOT_COORDINATION_ROUTING_RELAY_PARTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "banyanknot/coordination/routing/relay_effects.h"

namespace banyanknot::coordination {

/// \brief Counters of one run, for the log and the metrics.
struct RelayCounts {
  std::size_t parts = 0;
  std::size_t min_parts = 0;  ///< minimum for an answer
  std::size_t parts_in = 0;   ///< with a reply
  std::size_t sent = 0;       ///< requests to servers
  std::size_t extra = 0;      ///< of these, hedges and retries
  std::size_t unsent = 0;     ///< of these, no connection was made
  std::size_t refused = 0;    ///< rejected by servers as not run
  std::size_t erred = 0;      ///< error reply, broken connection or timeout
};

/// \brief The part of a request that one service answers.
struct RelayPart {
  state::ServiceId service;
  std::vector<state::InstanceId> tried;
  std::size_t counted_attempts = 0;  ///< may have reached a server
  std::size_t unsent = 0;
  std::size_t open = 0;  ///< attempts without a result
  bool has_reply = false;
  bool is_queued = false;  ///< for capacity
  bool may_have_run = false;
  state::TimePoint hedge_at = state::TimePoint::max();
  std::optional<RelayReply> failure;  ///< the last error reply

  bool IsPending() const {
    return !this->has_reply && (this->open > 0 || this->is_queued);
  }
};

/// \brief The parts of one request and their attempts.
///
/// Not thread-safe.
class RelayParts {
 public:
  explicit RelayParts(std::vector<state::ServiceId> services);

  std::vector<RelayPart>& All() { return this->parts; }
  const std::vector<RelayPart>& All() const { return this->parts; }
  RelayPart& PartOf(std::uint32_t attempt);

  /// \brief Records an attempt at `server`, where capacity is reserved for it.
  /// \returns the attempt number
  std::uint32_t Open(RelayPart& part, const TrackedServerPtr& server,
                     state::TimePoint now);

  /// \brief Marks an attempt as ended.
  /// \returns when it was sent; nothing if it was closed already
  std::optional<state::TimePoint> Close(std::uint32_t attempt);
  const TrackedServerPtr& ServerOf(std::uint32_t attempt) const;

  /// \brief Cancels all open attempts.
  /// \param outcome kCancelled, or kTimedOut past the deadline
  void CancelAll(AttemptOutcome outcome, state::TimePoint now,
                 RelayEffects& effects);

  bool HasOpen() const;
  bool MayHaveRun() const;
  std::size_t CountPending() const;
  /// \brief Returns true if all open attempts of the part are at unreachable
  /// servers.
  bool WaitsOnUnreachableOnly(const RelayPart& part) const;
  /// \brief Lists the services and tried servers of a few parts without a
  /// reply, for the log.
  std::string DescribeMissing() const;

 private:
  struct Attempt {
    std::size_t part = 0;
    TrackedServerPtr server;
    state::TimePoint sent_at;
    bool is_open = true;
  };

  std::vector<RelayPart> parts;
  std::vector<Attempt> attempts;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RELAY_PARTS_H_
