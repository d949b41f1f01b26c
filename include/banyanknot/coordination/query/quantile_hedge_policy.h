#ifndef BANYANKNOT_COORDINATION_QUERY_QUANTILE_HEDGE_POLICY_H_
#define BANYANKNOT_COORDINATION_QUERY_QUANTILE_HEDGE_POLICY_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "banyanknot/coordination/query/hedge_policy.h"
#include "banyanknot/coordination/query/reply_time_histogram.h"
#include "banyanknot/coordination/query/token_budget.h"
#include "banyanknot/state/catalogue_table.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Hedges attempts that take longer than a quantile of reply times.
///
/// The quantile is the fleet policy's, or a higher one if the hedge budget of
/// the fleet can't cover it. Thread-safe.
class QuantileHedgePolicy : public HedgePolicy {
 public:
  explicit QuantileHedgePolicy(const state::CatalogueTable& catalogue)
      : catalogue(catalogue) {}

  std::optional<state::Duration> DelayOf(
      const state::ServiceId& service) override;
  bool TryAcquire(const state::ServiceId& service) override;
  void RecordSent(const state::ServiceId& service, std::size_t count) override;
  void RecordReplyTimes(const state::ServiceId& service,
                        const std::vector<state::Duration>& times) override;

 private:
  struct Tracker {
    ReplyTimeHistogram times;
    TokenBudget budget;
    std::optional<state::Duration> delay;  // as of the last refresh
    std::size_t times_since_refresh = 0;   // count of reply times
  };

  const state::CatalogueTable& catalogue;
  state::ShardedTable<state::ServiceId, Tracker> trackers;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_QUANTILE_HEDGE_POLICY_H_
