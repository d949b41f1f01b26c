#ifndef BANYANKNOT_COORDINATION_DELEGATION_ADVERT_EXCHANGE_H_
#define BANYANKNOT_COORDINATION_DELEGATION_ADVERT_EXCHANGE_H_

#include <vector>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/delegation/gatherer_roster.h"
#include "banyanknot/coordination/delegation/host_link.h"
#include "banyanknot/coordination/random_source.h"
#include "banyanknot/coordination/readiness.h"
#include "banyanknot/coordination/timer_service.h"

namespace banyanknot::coordination {

/// \brief Keeps the GathererRoster up to date.
///
/// A host asks the gatherers that it knows, by turns, and the seeds while it
/// knows none; a host that is among the roomiest of its domain tells all seeds
/// and the other gatherers of the domain. So a domain goes on without seeds
/// once its hosts know each other. A gatherer that replies to an exchange is no
/// longer suspected. Thread-safe.
class AdvertExchange {
 public:
  /// \param seeds addresses of a few hosts, which may be stale
  /// \param readiness whether this host gathers for others
  AdvertExchange(const Clock& clock, TimerService& timers, RandomSource& random,
                 HostLink& link, GathererRoster& roster,
                 const Readiness& readiness,
                 std::vector<state::Endpoint> seeds);

  void Start();

 private:
  void RunRound();
  void Ask(const state::Endpoint& host);
  /// \brief Returns true if all known hosts of the domain have the same room.
  bool AreHostsAlike(state::TimePoint now) const;
  bool KnowsOthers(state::TimePoint now) const;
  std::vector<state::Endpoint> Targets(state::TimePoint now);
  state::Duration NextInterval(state::TimePoint now);

  const Clock& clock;
  TimerService& timers;
  RandomSource& random;
  HostLink& link;
  GathererRoster& roster;
  const Readiness& readiness;
  const std::vector<state::Endpoint> seeds;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_DELEGATION_ADVERT_EXCHANGE_H_
