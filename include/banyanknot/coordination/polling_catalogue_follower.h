#ifndef BANYANKNOT_COORDINATION_POLLING_CATALOGUE_FOLLOWER_H_
#define BANYANKNOT_COORDINATION_POLLING_CATALOGUE_FOLLOWER_H_

#include <atomic>
#include <cstdint>

#include "banyanknot/coordination/catalogue_follower.h"
#include "banyanknot/coordination/catalogue_sink.h"
#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/configuration_source.h"
#include "banyanknot/coordination/timer_service.h"

namespace banyanknot::coordination {

/// \brief Follows the platform by one continuous long poll; the baseline for
/// SparseCatalogueFollower.
///
/// Thread-safe.
class PollingCatalogueFollower : public CatalogueFollower {
 public:
  PollingCatalogueFollower(const Clock& clock, TimerService& timers,
                           ConfigurationSource& source, CatalogueSink& sink);

  void Start() override;
  bool HasSynced() const override { return this->has_synced; }

 private:
  void WatchNext();
  void OnUpdate(const RawUpdateResult& result);

  const Clock& clock;
  TimerService& timers;
  ConfigurationSource& source;
  CatalogueSink& sink;
  std::atomic<std::uint64_t> revision{0};
  std::atomic<bool> has_synced{false};
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_POLLING_CATALOGUE_FOLLOWER_H_
