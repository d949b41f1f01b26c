#ifndef BANYANKNOT_COORDINATION_CATALOGUE_FOLLOWER_H_
#define BANYANKNOT_COORDINATION_CATALOGUE_FOLLOWER_H_

#include <atomic>
#include <cstdint>

#include "banyanknot/coordination/catalogue_keeper.h"
#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/configuration_source.h"
#include "banyanknot/coordination/timer_service.h"

namespace banyanknot::coordination {

/// \brief Follows the platform's catalogue with one waiting watch.
///
/// Thread-safe.
class CatalogueFollower {
 public:
  CatalogueFollower(const Clock& clock, TimerService& timers,
                    ConfigurationSource& source, CatalogueKeeper& keeper);

  /// \brief Starts to follow; goes on until the process ends.
  void Start();

  /// \brief Tells whether the platform has answered at least once.
  bool HasRead() const { return this->has_read; }

 private:
  void WatchNext();
  void OnUpdate(const RawUpdateResult& result);

  const Clock& clock;
  TimerService& timers;
  ConfigurationSource& source;
  CatalogueKeeper& keeper;
  std::atomic<std::uint64_t> revision{0};
  std::atomic<bool> has_read{false};
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_CATALOGUE_FOLLOWER_H_
