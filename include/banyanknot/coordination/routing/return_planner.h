#ifndef BANYANKNOT_COORDINATION_ROUTING_RETURN_PLANNER_H_
#define BANYANKNOT_COORDINATION_ROUTING_RETURN_PLANNER_H_

#include "banyanknot/coordination/random_source.h"
#include "banyanknot/coordination/routing/wait_forecast.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Tells callers that were turned away when to come back.
class ReturnPlanner {
 public:
  virtual ~ReturnPlanner() = default;

  /// \param service at which there was no room, or nobody to ask
  /// \param expected what was foretold for the caller there
  /// \returns how long it should stay away
  virtual state::Duration ReturnAfter(const state::ServiceId& service,
                                      const ExpectedWait& expected,
                                      state::TimePoint now) = 0;
};

/// \brief Spreads returns over a short time, whatever the load. The baseline
/// of measurements.
class SpreadReturns : public ReturnPlanner {
 public:
  explicit SpreadReturns(RandomSource& random) : random(random) {}
  state::Duration ReturnAfter(const state::ServiceId& service,
                              const ExpectedWait& expected,
                              state::TimePoint now) override;

 private:
  RandomSource& random;
};

/// \brief Gives each caller a turn of its own, one after the other at the pace
/// at which room comes.
///
/// Thread-safe. Answers a burst of more than can be served: callers who all
/// come back soon are turned away again and again. Who was turned away first
/// returns first.
class PacedReturns : public ReturnPlanner {
 public:
  explicit PacedReturns(RandomSource& random) : spread(random) {}
  state::Duration ReturnAfter(const state::ServiceId& service,
                              const ExpectedWait& expected,
                              state::TimePoint now) override;

 private:
  SpreadReturns spread;  // where nothing was foretold
  state::ShardedTable<state::ServiceId, state::TimePoint> last_turns;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RETURN_PLANNER_H_
