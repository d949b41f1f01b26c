#ifndef BANYANKNOT_COORDINATION_ROUTING_HEDGE_DELAY_POLICY_H_
#define BANYANKNOT_COORDINATION_ROUTING_HEDGE_DELAY_POLICY_H_

#include <string>

#include "banyanknot/coordination/query/reply_time_histogram.h"
#include "banyanknot/state/routing/route.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Decides how long to wait for a reply before sending a hedge.
class HedgeDelayPolicy {
 public:
  virtual ~HedgeDelayPolicy() = default;
  virtual state::Duration HedgeDelay(const state::Route& route) const = 0;
  /// \brief Records the reply time of an attempt.
  virtual void RecordReplyTime(const state::Route& route,
                               state::Duration time) = 0;
};

/// \brief Hedges requests that take longer than a quantile of the route's
/// recent reply times.
///
/// Hides short stalls of single servers: with 20 shards of two servers, each
/// stalled 4% of the time, more than half of all gathers hit a stall.
/// Thread-safe.
class QuantileHedgeDelay : public HedgeDelayPolicy {
 public:
  /// \param quantile fraction of the requests that need no hedge
  explicit QuantileHedgeDelay(double quantile) : quantile(quantile) {}

  state::Duration HedgeDelay(const state::Route& route) const override;
  void RecordReplyTime(const state::Route& route,
                       state::Duration time) override;

 private:
  const double quantile;
  state::ShardedTable<std::string, ReplyTimeHistogram> times;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_HEDGE_DELAY_POLICY_H_
