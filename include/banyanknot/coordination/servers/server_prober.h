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

/// \brief Times of a ServerProber.
struct ServerProbeOptions {
  /// Mean time between two probes of this host, whatever the number of servers.
  state::Duration interval = state::Milliseconds(500);
  /// A server that replied or was probed more lately is not probed.
  state::Duration staleness = state::Milliseconds(3'000);
};

/// \brief Reads the health of servers of which this host knows nothing recent.
///
/// One probe at a time at a bounded rate. The servers of a failure domain are
/// divided among its hosts by rendezvous hashing; what one host learns reaches
/// the others as a note. Health adds caution and instances, never warmth.
class ServerProber {
 public:
  ServerProber(const Clock& clock, TimerService& timers, RandomSource& random,
               ServerHealthClient& client, state::ServerTable& servers,
               const HostRoster& roster, state::HostId self,
               const ServerPhaseRules& rules, ServerPhaseJournal& journal,
               ServerProbeOptions times);

  /// \brief Probes at the interval, with jitter, until the process ends.
  void Start();

  /// \brief Probes the one server that needs it most, if any does.
  void ProbeOne();

 private:
  struct Candidate {
    state::ServerId server;
    state::ServerLimits limits;
    state::TimePoint known_at;
  };

  std::vector<Candidate> StaleServers(state::TimePoint now) const;
  bool IsMine(const Candidate& candidate) const;
  std::optional<Candidate> Choose(state::TimePoint now) const;
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
  const ServerProbeOptions times;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_SERVER_PROBER_H_
