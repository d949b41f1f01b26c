#ifndef BANYANKNOT_COORDINATION_FLEET_HOST_LIST_FOLLOWER_H_
#define BANYANKNOT_COORDINATION_FLEET_HOST_LIST_FOLLOWER_H_

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/fleet/host_registry.h"
#include "banyanknot/coordination/host_list_source.h"
#include "banyanknot/coordination/random_source.h"
#include "banyanknot/coordination/timer_service.h"

namespace banyanknot::coordination {

/// \brief Polls the platform's list of hosts, with jitter.
///
/// Thread-safe.
class HostListFollower {
 public:
  HostListFollower(const Clock& clock, TimerService& timers,
                   RandomSource& random, HostListSource& source,
                   HostRegistry& registry);

  /// \brief Starts to poll; goes on until the process ends.
  void Start();

 private:
  void ScheduleRead(state::Duration min_delay, state::Duration max_delay);
  void OnList(const HostListResult& result);

  const Clock& clock;
  TimerService& timers;
  RandomSource& random;
  HostListSource& source;
  HostRegistry& registry;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_FLEET_HOST_LIST_FOLLOWER_H_
