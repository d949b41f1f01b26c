#ifndef BANYANKNOT_COORDINATION_ROUTING_TRACKED_SERVER_H_
#define BANYANKNOT_COORDINATION_ROUTING_TRACKED_SERVER_H_

#include <cstddef>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

#include "banyanknot/coordination/routing/relay_client.h"
#include "banyanknot/coordination/routing/server_observation.h"
#include "banyanknot/coordination/routing/server_suspicion.h"
#include "banyanknot/state/routing/registered_server.h"

namespace banyanknot::coordination {

/// \brief How an attempt at a server ended.
enum class AttemptOutcome {
  kReplied,    ///< a usable reply
  kRefused,    ///< rejected, proven not run
  kErred,      ///< an error reply
  kNotSent,    ///< the connection attempt failed
  kBroken,     ///< the connection broke after the first byte
  kTimedOut,   ///< no reply in time
  kCancelled,  ///< cancelled by this host
};

/// \brief One backend server and this host's observations of it.
///
/// Thread-safe; each server has its own lock.
class TrackedServer : public ServerNoticeSink {
 public:
  /// \param connection_limit concurrent requests of this host
  TrackedServer(state::RegisteredServer record, std::size_t connection_limit);

  const state::RegisteredServer& Record() const { return this->record; }

  /// \brief Applies a newer record of the same instance: same address and start
  /// time.
  void Update(const state::RegisteredServer& newer, state::TimePoint now);
  void SetConnectionLimit(std::size_t limit);
  void SetDomainOut(bool is_out);
  void MarkLeaving();
  /// \brief Returns true if the server, not only its entry, is known to leave.
  bool IsLeaving() const;
  void OnNotice(const ServerNotice& notice, state::TimePoint now) override;
  bool AcceptsRequests(state::TimePoint now) const override;
  /// \brief Returns when the server accepts requests again; nothing if
  /// something else than its own back-off withholds them.
  std::optional<state::TimePoint> BackOffEnd(state::TimePoint now) const;
  /// \brief Withholds requests from a server whose entry was removed.
  void MarkRemoved();
  /// \brief Withholds requests until a health check clears the suspicion.
  void Suspect(ServerSuspicion suspicion);
  /// \brief Records a successful health check.
  /// \param cold_for how long the server is still cold; zero if it is not
  void ClearSuspicion(state::Duration cold_for, state::TimePoint now);
  void SetColdFor(state::Duration cold_for, state::TimePoint now);

  /// \brief Returns true if the server may get requests, whether or not it has
  /// capacity now.
  bool IsUsable(state::TimePoint now) const;
  bool NeedsHealthCheck() const;
  bool HasRepliedSince(state::TimePoint since) const;
  /// \brief Returns the time since the last reply; nothing before the first.
  std::optional<state::Duration> TimeSinceReply(state::TimePoint now) const;
  /// \brief Returns true if it is suspected and the last attempts failed.
  bool IsUnreachable() const;
  /// \brief Returns the name of the suspicion; empty if there is none.
  std::string_view SuspicionName() const;
  /// \brief Records a health check that failed or found the server unhealthy.
  void RecordFailedCheck();
  /// \brief Returns the time of the next health check, with exponential
  /// backoff, and not before the end of the server's own back-off.
  state::TimePoint NextCheckAt(state::TimePoint now) const;

  /// \brief Returns the moving average of reply times, decayed while idle.
  state::Duration TypicalReplyTime(state::TimePoint now) const;

  /// \brief Returns what is known of the server for choosing one.
  /// \returns nothing if the server is not usable or has no capacity
  std::optional<ServerObservation> Observe(state::TimePoint now) const;

  /// \brief Reserves capacity for one request.
  /// \returns false if the server is not usable or has no capacity
  bool TryReserve(state::TimePoint now);
  /// \brief Releases reserved capacity and records the outcome.
  /// \param sent_at the `now` of the matching TryReserve()
  void Release(AttemptOutcome outcome, state::TimePoint sent_at,
               state::TimePoint now, const std::optional<ReportedLoad>& load);

 private:
  bool IsUsableLocked(state::TimePoint now) const;
  bool IsEligibleLocked(state::TimePoint now) const;
  double TypicalReplyMsLocked(state::TimePoint now) const;
  bool IsStallLocked(state::Duration unanswered) const;
  state::Duration StallTimeLocked(state::TimePoint now) const;
  void RecordReplyLocked(state::Duration time, bool is_failure);

  const state::RegisteredServer record;
  mutable std::mutex mutex;
  std::size_t connection_limit;
  bool is_leaving;
  bool is_removed = false;
  bool is_domain_out = false;
  std::optional<ServerSuspicion> suspicion;
  unsigned consecutive_failures = 0;
  state::TimePoint cold_until;
  state::TimePoint back_off_until;
  std::vector<state::TimePoint> send_times;  // of open requests, oldest first
  double reply_ms;                           // moving average
  double failure_share = 0;                  // moving average
  std::optional<ReportedLoad> load;
  // This host's open requests when `load` was reported.
  std::size_t own_requests_at_report = 0;
  state::TimePoint load_at;
  state::TimePoint last_sent_at;
  state::TimePoint replied_at;
};

using TrackedServerPtr = std::shared_ptr<TrackedServer>;

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_TRACKED_SERVER_H_
