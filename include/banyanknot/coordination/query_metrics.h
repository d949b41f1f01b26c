#ifndef BANYANKNOT_COORDINATION_QUERY_METRICS_H_
#define BANYANKNOT_COORDINATION_QUERY_METRICS_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <vector>

#include "banyanknot/coordination/metric_source.h"
#include "banyanknot/state/answer.h"
#include "banyanknot/state/sharded_table.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Outcomes, latency and coverage of answers by service.
///
/// Thread-safe.
class QueryMetrics : public MetricSource {
 public:
  void RecordAnswer(const state::Answer& answer, state::Duration latency);
  void CollectMetrics(std::vector<MetricSample>& samples) const override;

 private:
  using Quantile = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;
  using Summary = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<boost::accumulators::tag::count,
                                         boost::accumulators::tag::mean,
                                         boost::accumulators::tag::max>>;

  struct ServiceMetrics {
    std::array<std::uint64_t, state::kOutcomeNames.size()> outcomes{};
    Summary latency_ms;
    Quantile median_ms{boost::accumulators::quantile_probability = 0.5};
    Quantile percentile99_ms{boost::accumulators::quantile_probability = 0.99};
    Summary coverage;
  };

  state::ShardedTable<state::ServiceId, ServiceMetrics> services;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_METRICS_H_
