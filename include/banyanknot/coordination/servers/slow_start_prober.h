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

/// \brief Times and bounds of a SlowStartProber.
struct SlowStartProbeOptions {
  /// Time between two trials of one server.
  state::Duration interval = state::Milliseconds(100);
  /// Time that one trial may take; shorter than the takeover delay of slots.
  state::Duration deadline = state::Milliseconds(1'000);
  /// Most trials that this host starts at once.
  std::size_t max_concurrent = 64;
};

/// \brief Sends trial sub-requests for one key to servers that are not warm.
///
/// Only replies to real work prove that a server is warm, and only the owners
/// of its cold slots may send it any. A trial gives that proof when callers
/// send an owner too little. It takes an owned cold slot from the gate like
/// any other work, so it never adds to what a cold server bears. Run by one
/// timer.
/// \sa FleetServerGate, ServerPhaseRules
class SlowStartProber {
 public:
  /// \param origin drawn at random for the requests of this incarnation
  SlowStartProber(std::uint64_t origin, const Clock& clock,
                  TimerService& timers, const state::CatalogueTable& catalogue,
                  const state::ServerTable& servers, ServerGate& gate,
                  BackendClient& backend, SlowStartProbeOptions times);

  /// \brief Runs RunOnce() at the interval until the process ends.
  void Start();

  /// \brief Starts the trials that are due.
  void RunOnce();

 private:
  bool IsDue(const state::ServerId& server) const;
  void Try(const state::ServiceEntry& service, const state::ShardEntry& shard,
           const state::ServerEntry& server);

  const std::uint64_t origin;
  const Clock& clock;
  TimerService& timers;
  const state::CatalogueTable& catalogue;
  const state::ServerTable& servers;
  ServerGate& gate;
  BackendClient& backend;
  const SlowStartProbeOptions times;
  std::uint64_t next_sequence = 1;
  const std::shared_ptr<std::atomic<std::size_t>> in_flight;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_SLOW_START_PROBER_H_
