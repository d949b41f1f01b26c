#ifndef BANYANKNOT_COORDINATION_SERVERS_SERVER_PROBER_H_
#define BANYANKNOT_COORDINATION_SERVERS_SERVER_PROBER_H_

#include <optional>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/random_source.h"
#include "banyanknot/coordination/servers/host_roster.h"
#include "banyanknot/coordination/servers/server_health_client.h"
#include "banyanknot/coordination/servers/server_phase_journal.h"
#include "banyanknot/coordination/servers/server_phase_rules.h"
#include "banyanknot/coordination/timer_service.h"
#include "banyanknot/state/server_record.h"

namespace banyanknot::coordination {

/// \brief Options of a ServerProber.
struct ServerProbeOptions {
  /// Mean time between probes of this host, for any number of servers.
  state::Duration interval = state::Milliseconds(500);
  /// Servers that replied or were probed more recently are skipped.
  state::Duration min_staleness = state::Milliseconds(3'000);
};

/// \brief Health-checks servers from which this host has no recent reply.
///
/// Sends one probe per interval. Rendezvous hashing divides the servers of a
/// failure domain among its hosts; the others get the result as a server
/// update. A health report can reveal a new instance or a leaving server, but
/// never makes a server warm.
class ServerProber {
 public:
  ServerProber(const Clock& clock, TimerService& timers, RandomSource& random,
               ServerHealthClient& client, state::ServerTable& servers,
               const HostRoster& roster, state::HostId self,
               const ServerPhaseRules& rules, ServerPhaseJournal& journal,
               ServerProbeOptions options);

  /// \brief Probes at the interval, with jitter, until the process ends.
  void Start();

  /// \brief Probes the assigned server with the oldest information, if any is
  /// stale.
  void ProbeOne();

 private:
  struct Candidate {
    state::ServerId server;
    state::ServerLimits limits;
    state::TimePoint last_known_at;
  };

  std::vector<Candidate> StaleServers(state::TimePoint now) const;
  bool IsAssignedToSelf(const Candidate& candidate) const;
  std::optional<Candidate> ChooseCandidate(state::TimePoint now) const;
  void OnHealth(const state::ServerId& server, const HealthResult& result);

  const Clock& clock;
  TimerService& timers;
  RandomSource& random;
  ServerHealthClient& client;
  state::ServerTable& servers;
  const HostRoster& roster;
  const state::HostId self;
  const ServerPhaseRules& rules;
  ServerPhaseJournal& journal;
  const ServerProbeOptions options;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_SERVER_PROBER_H_
