#ifndef BANYANKNOT_COORDINATION_SERVERS_SERVER_PHASE_RULES_H_
#define BANYANKNOT_COORDINATION_SERVERS_SERVER_PHASE_RULES_H_

#include <cstdint>

#include "banyanknot/coordination/peer_message.h"
#include "banyanknot/coordination/servers/server_phase_change.h"
#include "banyanknot/state/server_record.h"

namespace banyanknot::coordination {

/// \brief Bounds by which a server's phase is decided.
struct ServerPhaseBounds {
  /// Replies in time, in a row, that end a step of the ramp of a server whose
  /// start was not seen and which says that it is warm.
  std::uint32_t good_replies_per_step = 10;
  /// Least time over which those replies come.
  state::Duration least_step = state::Milliseconds(300);
  /// Slow replies in a row that make a warm server suspect.
  std::uint32_t slow_replies_to_cold = 5;
  /// A reply is slow from this multiple of the usual latency on.
  std::uint32_t slow_factor = 4;
  /// A reply is slow only if it took at least this much longer than usual.
  state::Duration slow_margin = state::Milliseconds(20);
};

/// \brief Decides the phase of a backend server from what is seen of it.
///
/// Pure functions of a record and an event; they run under the record's lock
/// and call nothing outside. A server whose start was seen is cold for its
/// whole warm-up. One whose start was not seen climbs a ramp: each step doubles
/// what it is given, and ends with enough replies in time; strain on the ramp
/// makes it cold for a whole warm-up. No claim of the server alone makes it
/// warm, and an instance that was seen leaving stays so.
class ServerPhaseRules {
 public:
  explicit ServerPhaseRules(ServerPhaseBounds bounds) : bounds(bounds) {}

  /// \brief Takes a reply to a sub-request that was admitted at `granted_at`.
  MaybePhaseChange OnReply(state::ServerRecord& record,
                           const state::SubReply& reply,
                           state::TimePoint granted_at,
                           state::TimePoint now) const;

  /// \brief Takes a report of the health endpoint; it adds caution only.
  MaybePhaseChange OnHealth(state::ServerRecord& record,
                            const state::ServerReport& report,
                            state::TimePoint now) const;

  /// \brief Takes what another host learnt; the later transition wins, and
  /// leaving wins always for its instance.
  MaybePhaseChange OnServerUpdate(state::ServerRecord& record,
                                  const ServerUpdate& update,
                                  state::TimePoint now) const;

  /// \brief The server closed a connection: it may have restarted.
  MaybePhaseChange OnConnectionLost(state::ServerRecord& record,
                                    state::TimePoint now) const;

  /// \brief Presumes the server cold for a whole warm-up from now on.
  MaybePhaseChange PresumeCold(state::ServerRecord& record, PhaseCause cause,
                               state::TimePoint now) const;

 private:
  MaybePhaseChange WeighReply(state::ServerRecord& record,
                              const state::SubReply& reply,
                              state::Duration latency,
                              state::TimePoint now) const;
  MaybePhaseChange WeighColdReply(state::ServerRecord& record,
                                  const state::SubReply& reply,
                                  state::Duration latency,
                                  state::TimePoint now) const;
  MaybePhaseChange WeighWarmReply(state::ServerRecord& record,
                                  const state::SubReply& reply,
                                  state::Duration latency,
                                  state::TimePoint now) const;
  MaybePhaseChange ClimbRamp(state::ServerRecord& record,
                             state::TimePoint now) const;
  bool IsSlow(const state::ServerRecord& record, state::Duration latency) const;

  const ServerPhaseBounds bounds;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_SERVER_PHASE_RULES_H_
