#ifndef BANYANKNOT_BENCH_MEASURE_QUERY_MEASURES_H_
#define BANYANKNOT_BENCH_MEASURE_QUERY_MEASURES_H_

#include "measure.h"

namespace banyanknot::measure {

/// \brief p99 of whole answers while 1 reply in 100 is ten times slow.
class StragglerMeasure : public Measure {
 public:
  explicit StragglerMeasure(std::uint64_t fan_out) : fan_out(fan_out) {}
  std::string Name() const override;
  Finding Run() override;

 private:
  const std::uint64_t fan_out;
};

/// \brief p99 while one replica is steadily ten times slow, over that without.
class SlowServerMeasure : public Measure {
 public:
  std::string Name() const override { return "slow_server"; }
  Finding Run() override;
};

/// \brief Goodput of the highest class at twice the capacity.
class OverloadMeasure : public Measure {
 public:
  std::string Name() const override { return "overload"; }
  Finding Run() override;
};

/// \brief Whole answers while the index version changes every second.
class SnapshotChangeMeasure : public Measure {
 public:
  std::string Name() const override { return "snapshot_change"; }
  Finding Run() override;
};

}  // namespace banyanknot::measure

#endif  // BANYANKNOT_BENCH_MEASURE_QUERY_MEASURES_H_
