#ifndef BANYANKNOT_COORDINATION_METRIC_SOURCE_H_
#define BANYANKNOT_COORDINATION_METRIC_SOURCE_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "banyanknot/coordination/metric_kind.h"

namespace banyanknot::coordination {

/// \brief One label of a metric.
struct MetricLabel {
  std::string name;
  std::string value;
};

/// \brief Number of observations up to a bound.
struct MetricBucket {
  double upper_bound = 0;   ///< infinity for the last
  std::uint64_t count = 0;  ///< of this bucket and all lower ones
};

/// \brief One value of a metric at the time of reading.
struct MetricSample {
  std::string name;  ///< ends in its unit, as scrapers expect
  std::string help;
  MetricKind kind = MetricKind::kGauge;
  std::vector<MetricLabel> labels;
  double value = 0;                   ///< for a histogram, the sum of all
  std::vector<MetricBucket> buckets;  ///< for a histogram, by rising bound
};

/// \brief A component that exports metrics.
///
/// Thread-safe.
class MetricSource {
 public:
  virtual ~MetricSource() = default;
  virtual void CollectMetrics(std::vector<MetricSample>& samples) const = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_METRIC_SOURCE_H_
