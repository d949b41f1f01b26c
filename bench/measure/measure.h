#ifndef BANYANKNOT_BENCH_MEASURE_MEASURE_H_
#define BANYANKNOT_BENCH_MEASURE_MEASURE_H_

#include <nlohmann/json.hpp>
#include <string>

namespace banyanknot::measure {

/// \brief On which side of its bound a value has to lie.
enum class BoundSide {
  kAtMost,
  kAtLeast,
};

/// \brief What one measure found.
struct Finding {
  double value = 0;
  std::string unit;
  double baseline = 0;  ///< the same, measured on the naive policies
  double bound = 0;     ///< from the requirements; never from what was measured
  BoundSide side = BoundSide::kAtMost;
  bool bound_is_ratio = false;  ///< the bound is one of value over baseline
  bool also_holds = true;       ///< further conditions of the measure
  nlohmann::json details = nlohmann::json::object();
  std::string error;  ///< why it could not be measured; empty if it was
};

/// \brief One thing that is measured.
class Measure {
 public:
  virtual ~Measure() = default;
  virtual std::string Name() const = 0;

  /// \brief Measures; takes half a minute at most.
  virtual Finding Run() = 0;
};

/// \brief Writes a finding as the line that the tool prints.
nlohmann::json ToJson(const std::string& name, const Finding& finding);

}  // namespace banyanknot::measure

#endif  // BANYANKNOT_BENCH_MEASURE_MEASURE_H_
