#ifndef BANYANKNOT_COORDINATION_ROUTING_RELAY_PARTS_H_
#define BANYANKNOT_COORDINATION_ROUTING_RELAY_PARTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "banyanknot/coordination/routing/relay_effects.h"

namespace banyanknot::coordination {

/// \brief Counts of one run, for the log and the metrics.
struct RelayCounts {
  std::size_t parts = 0;
  std::size_t min_parts = 0;  ///< parts of the least answer
  std::size_t parts_in = 0;
  std::size_t sent = 0;     ///< requests to servers
  std::size_t extra = 0;    ///< of these, beyond the first of each part
  std::size_t unsent = 0;   ///< for which no connection was made
  std::size_t refused = 0;  ///< by servers, as not run
  std::size_t erred = 0;    ///< ended in a failure or in nothing
};

/// \brief One part of a request, which one service answers.
struct RelayPart {
  state::ServiceId service;
  std::vector<state::InstanceId> tried;
  std::size_t counted_attempts =
      0;  ///< requests that may have reached a server
  std::size_t unsent = 0;
  std::size_t open = 0;  ///< attempts that wait for a reply
  bool has_reply = false;
  bool is_queued = false;  ///< for room
  bool may_have_run = false;
  state::TimePoint hedge_at = state::TimePoint::max();
  std::optional<RelayReply> failure;  ///< a server's own

  bool IsPending() const {
    return !this->has_reply && (this->open > 0 || this->is_queued);
  }
};

/// \brief The parts of one request and what was sent for them.
///
/// Not thread-safe.
class RelayParts {
 public:
  explicit RelayParts(std::vector<state::ServiceId> services);

  std::vector<RelayPart>& All() { return this->parts; }
  const std::vector<RelayPart>& All() const { return this->parts; }
  RelayPart& PartOf(std::uint32_t attempt);

  /// \brief Notes a request to `server`, which has room reserved for it.
  /// \returns the number of the attempt
  std::uint32_t Open(RelayPart& part, const TrackedServerPtr& server,
                     state::TimePoint now);

  /// \brief Notes the end of an attempt.
  /// \returns when it was sent; nothing if it had ended before
  std::optional<state::TimePoint> Close(std::uint32_t attempt);
  const TrackedServerPtr& ServerOf(std::uint32_t attempt) const;

  /// \brief Gives up every attempt that waits for a reply.
  /// \param end kCancelled, or kSilent if their time is up
  void CancelAll(AttemptOutcome outcome, state::TimePoint now,
                 RelayEffects& effects);

  bool HasOpen() const;
  bool MayHaveRun() const;
  std::size_t CountPending() const;
  /// \brief Tells whether all servers that the part waits for seem gone.
  bool WaitsOnUnreachableOnly(const RelayPart& part) const;
  /// \brief Services and servers of a few parts that are not in, for the log.
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
