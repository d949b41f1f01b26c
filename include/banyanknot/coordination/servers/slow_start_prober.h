#ifndef BANYANKNOT_COORDINATION_SERVERS_SLOW_START_PROBER_H_
#define BANYANKNOT_COORDINATION_SERVERS_SLOW_START_PROBER_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "banyanknot/coordination/backend_client.h"
#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/server_gate.h"
#include "banyanknot/coordination/timer_service.h"
#include "banyanknot/state/catalogue_table.h"
#include "banyanknot/state/server_record.h"

namespace banyanknot::coordination {

/// \brief Options of a SlowStartProber.
struct SlowStartProbeOptions {
  /// Time between two probes of one server.
  state::Duration interval = state::Milliseconds(100);
  /// Timeout of a probe; must be shorter than OwnershipTimes::takeover_delay.
  state::Duration deadline = state::Milliseconds(1'000);
  /// Limit of probes in flight from this host.
  std::size_t max_concurrent = 64;
};

/// \brief Sends single-key sub-requests to servers that are not warm.
///
/// Only replies to real requests show that a server is warm, and only the
/// owners of its cold slots may send it any. Probes provide these replies when
/// an owner gets too few requests from callers. A probe takes a cold slot from
/// the gate like any other request, so it never exceeds the limit of a cold
/// server. Not thread-safe; run by one timer. \sa FleetServerGate,
/// ServerPhaseRules
class SlowStartProber {
 public:
  /// \param origin random request origin of this incarnation
  SlowStartProber(std::uint64_t origin, const Clock& clock,
                  TimerService& timers, const state::CatalogueTable& catalogue,
                  const state::ServerTable& servers, ServerGate& gate,
                  BackendClient& backend, SlowStartProbeOptions options);

  /// \brief Runs RunOnce() at the interval until the process ends.
  void Start();

  /// \brief Starts the probes that are due, up to the limit.
  void RunOnce();

 private:
  bool NeedsProbe(const state::ServerId& server) const;
  void SendProbe(const state::ServiceEntry& service,
                 const state::ShardEntry& shard,
                 const state::ServerEntry& server);

  const std::uint64_t origin;
  const Clock& clock;
  TimerService& timers;
  const state::CatalogueTable& catalogue;
  const state::ServerTable& servers;
  ServerGate& gate;
  BackendClient& backend;
  const SlowStartProbeOptions options;
  std::uint64_t next_sequence = 1;
  const std::shared_ptr<std::atomic<std::size_t>> in_flight;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_SLOW_START_PROBER_H_
