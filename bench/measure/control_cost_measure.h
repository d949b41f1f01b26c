#ifndef BANYANKNOT_BENCH_MEASURE_CONTROL_COST_MEASURE_H_
#define BANYANKNOT_BENCH_MEASURE_CONTROL_COST_MEASURE_H_

#include <string>

#include "measure.h"

namespace banyanknot::measure {

/// \brief Processor time, memory and bytes that a host without callers spends,
/// and what their slopes give at the target size.
class ControlCostMeasure : public Measure {
 public:
  std::string Name() const override { return "control_cost"; }
  Finding Run() override;
};

}  // namespace banyanknot::measure

#endif  // BANYANKNOT_BENCH_MEASURE_CONTROL_COST_MEASURE_H_
