#ifndef BANYANKNOT_COORDINATION_METRIC_KIND_H_
#define BANYANKNOT_COORDINATION_METRIC_KIND_H_

#include <array>
#include <string_view>

#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief How a metric's value behaves over time.
enum class MetricKind {
  kCounter,    ///< only grows while the process runs
  kGauge,      ///< goes up and down
  kHistogram,  ///< cumulative counts of observations by bucket
};

/// \brief Names of MetricKind as written in messages and logs.
inline constexpr std::array<state::EnumName<MetricKind>, 3> kMetricKindNames{{
    {MetricKind::kCounter, "counter"},
    {MetricKind::kGauge, "gauge"},
    {MetricKind::kHistogram, "histogram"},
}};

/// \brief Returns the name of a MetricKind.
constexpr std::string_view NameOf(MetricKind value) {
  return state::FindName(kMetricKindNames, value);
}

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_METRIC_KIND_H_
