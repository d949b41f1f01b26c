#ifndef BANYANKNOT_COORDINATION_ROUTING_HEDGE_DELAY_POLICY_H_
#define BANYANKNOT_COORDINATION_ROUTING_HEDGE_DELAY_POLICY_H_

#include <string>

#include "banyanknot/coordination/query/reply_time_histogram.h"
#include "banyanknot/state/routing/route.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Tells how long to wait for a server before another is asked too.
class HedgeDelayPolicy {
 public:
  virtual ~HedgeDelayPolicy() = default;
  virtual state::Duration HedgeDelay(const state::Route& route) const = 0;
  /// \brief Notes how long a server took for a request of the route.
  virtual void RecordReplyTime(const state::Route& route,
                               state::Duration time) = 0;
};

/// \brief Hedges what takes longer than a quantile of the route's recent
/// replies.
///
/// Answers short pauses of single servers: with 20 shards of two servers, each
/// paused 4% of the time, more than half of all gathers meet a pause.
class QuantileHedgeDelay : public HedgeDelayPolicy {
 public:
  /// \param quantile share of the replies that come without a hedge
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
