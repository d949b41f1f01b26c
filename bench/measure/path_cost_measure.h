#ifndef BANYANKNOT_BENCH_MEASURE_PATH_COST_MEASURE_H_
#define BANYANKNOT_BENCH_MEASURE_PATH_COST_MEASURE_H_

#include "measure.h"

namespace banyanknot::measure {

/// \brief Whole-query latency through a host over a direct fan-out by the same
/// client code.
class PathCostMeasure : public Measure {
 public:
  std::string Name() const override { return "path_cost"; }
  Finding Run() override;
};

}  // namespace banyanknot::measure

#endif  // BANYANKNOT_BENCH_MEASURE_PATH_COST_MEASURE_H_
