#ifndef BANYANKNOT_COORDINATION_ROUTING_TRACKED_SERVER_H_
#define BANYANKNOT_COORDINATION_ROUTING_TRACKED_SERVER_H_

#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

#include "banyanknot/coordination/routing/relay_client.h"
#include "banyanknot/coordination/routing/server_suspicion.h"
#include "banyanknot/state/routing/registered_server.h"

namespace banyanknot::coordination {

/// \brief How a request to a server ended, as far as the server is concerned.
enum class AttemptOutcome {
  kReplied,    ///< a usable reply
  kRefused,    ///< a true refusal: not run
  kErred,      ///< a reply that is a failure
  kNotSent,    ///< no connection was made
  kBroken,     ///< the connection broke after the first byte
  kSilent,     ///< nothing came in time
  kCancelled,  ///< given up by this host
};

/// \brief One backend server and what this host has seen of it.
///
/// Thread-safe, under a lock of its own.
class TrackedServer {
 public:
  /// \param connection_limit requests that this host may have there at once
  TrackedServer(state::RegisteredServer record, std::size_t connection_limit);

  const state::RegisteredServer& Record() const { return this->record; }

  /// \brief Takes up what the server newly says; its address and start are the
  /// same as before.
  void Update(const state::RegisteredServer& newer, state::TimePoint now);
  void SetConnectionLimit(std::size_t limit);
  void SetDomainOut(bool is_out);
  void MarkLeaving();
  /// \brief It stays without work until a check clears it.
  void Suspect(ServerSuspicion suspicion);
  /// \brief A check found it well, and cold for so long yet.
  void ClearSuspicion(state::Duration cold_for, state::TimePoint now);
  void SetColdFor(state::Duration cold_for, state::TimePoint now);

  /// \brief Tells whether it may get any work now or soon, free or not.
  bool IsUsable(state::TimePoint now) const;
  bool NeedsHealthCheck() const;
  bool HasRepliedSince(state::TimePoint since) const;
  /// \brief Time since its last reply; nothing if it has not replied yet.
  std::optional<state::Duration> TimeSinceReply(state::TimePoint now) const;
  /// \brief Tells whether the last tries to reach it failed.
  bool IsUnreachable() const;
  /// \brief Name of the doubt; empty if there is none.
  std::string_view SuspicionName() const;
  /// \brief A check found it unwell or unreachable.
  void RecordFailedCheck();
  state::Duration NextCheckDelay() const;

  /// \brief Time that it usually takes for a request.
  state::Duration TypicalReplyTime(state::TimePoint now) const;

  /// \brief Expected time until it has answered one more request.
  /// \returns nothing if it may get none now
  std::optional<state::Duration> Cost(state::TimePoint now) const;

  /// \brief Reserves room for one request.
  /// \returns false if it may get none now
  bool TryReserve(state::TimePoint now);
  /// \param sent_at what was `now` at TryReserve()
  void Release(AttemptOutcome outcome, state::TimePoint sent_at,
               state::TimePoint now, const std::optional<ReportedLoad>& load);

 private:
  bool IsUsableLocked(state::TimePoint now) const;
  double TypicalReplyMsLocked(state::TimePoint now) const;
  bool IsStallLocked(state::Duration unanswered) const;
  state::Duration StallTimeLocked(state::TimePoint now) const;
  void RecordReplyLocked(state::Duration time, bool is_failure);

  const state::RegisteredServer record;
  mutable std::mutex mutex;
  std::size_t connection_limit;
  bool is_leaving;
  bool is_domain_out = false;
  std::optional<ServerSuspicion> suspicion;
  unsigned consecutive_failures = 0;
  state::TimePoint cold_until;
  std::vector<state::TimePoint>
      send_times;            // of the requests it has, oldest first
  double reply_ms;           // moving average of reply times
  double failure_share = 0;  // moving average
  std::optional<ReportedLoad> load;
  std::size_t own_requests_at_report =
      0;  // this host's requests when it reported
  state::TimePoint load_at;
  state::TimePoint last_sent_at;
  state::TimePoint replied_at;
};

using TrackedServerPtr = std::shared_ptr<TrackedServer>;

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_TRACKED_SERVER_H_
