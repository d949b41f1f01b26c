#ifndef BANYANKNOT_COORDINATION_SERVERS_SERVER_PHASE_RULES_H_
#define BANYANKNOT_COORDINATION_SERVERS_SERVER_PHASE_RULES_H_

#include <cstdint>

#include "banyanknot/coordination/peer_message.h"
#include "banyanknot/coordination/servers/server_phase_change.h"
#include "banyanknot/state/server_record.h"

namespace banyanknot::coordination {

/// \brief Thresholds for the phase of a server.
struct ServerPhaseThresholds {
  /// Consecutive fast replies that end a slow-start step of a server whose
  /// start was not observed and which reports that it is warm.
  std::uint32_t replies_per_step = 10;
  /// Minimum duration of a step, whatever the number of replies.
  state::Duration min_step_duration = state::Milliseconds(300);
  /// Consecutive slow replies that make a warm server suspect.
  std::uint32_t slow_replies_to_suspect = 5;
  /// A reply is slow above this multiple of the baseline latency, and
  std::uint32_t slow_factor = 4;
  /// above the baseline latency plus this margin.
  state::Duration slow_margin = state::Milliseconds(20);
};

/// \brief State machine for the phase of a backend server.
///
/// Thread-safe. Functions of a record and an event, without side effects
/// elsewhere; the caller holds the record's lock. A server whose start was
/// observed is cold for its whole warm-up. One whose start was not observed
/// goes through slow start: each step doubles its concurrency limit and ends
/// after enough fast replies; overload during slow start makes it cold for a
/// whole warm-up. A server's own report never makes it warm, and an instance
/// that was seen leaving stays in that phase.
class ServerPhaseRules {
 public:
  explicit ServerPhaseRules(ServerPhaseThresholds thresholds)
      : thresholds(thresholds) {}

  /// \brief Handles a reply to a sub-request that was admitted at `granted_at`.
  MaybePhaseChange OnReply(state::ServerRecord& record,
                           const state::SubReply& reply,
                           state::TimePoint granted_at,
                           state::TimePoint now) const;

  /// \brief Handles a health report; it can make a server cold or leaving, but
  /// never warm.
  MaybePhaseChange OnHealth(state::ServerRecord& record,
                            const state::ServerReport& report,
                            state::TimePoint now) const;

  /// \brief Applies an update from another host. The later transition wins;
  /// leaving always wins for its instance.
  MaybePhaseChange OnServerUpdate(state::ServerRecord& record,
                                  const ServerUpdate& update,
                                  state::TimePoint now) const;

  /// \brief Suspects a warm server that closed a connection of a restart.
  MaybePhaseChange OnConnectionLost(state::ServerRecord& record,
                                    state::TimePoint now) const;

  /// \brief Marks the server cold for a whole warm-up from `now`, unless it is
  /// leaving.
  MaybePhaseChange PresumeCold(state::ServerRecord& record, PhaseCause cause,
                               state::TimePoint now) const;

 private:
  MaybePhaseChange EvaluateReply(state::ServerRecord& record,
                                 const state::SubReply& reply,
                                 state::Duration latency,
                                 state::TimePoint now) const;
  MaybePhaseChange EvaluateColdReply(state::ServerRecord& record,
                                     const state::SubReply& reply,
                                     state::Duration latency,
                                     state::TimePoint now) const;
  MaybePhaseChange EvaluateWarmReply(state::ServerRecord& record,
                                     const state::SubReply& reply,
                                     state::Duration latency,
                                     state::TimePoint now) const;
  MaybePhaseChange AdvanceSlowStart(state::ServerRecord& record,
                                    state::TimePoint now) const;
  bool IsSlow(const state::ServerRecord& record, state::Duration latency) const;

  const ServerPhaseThresholds thresholds;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_SERVER_PHASE_RULES_H_
