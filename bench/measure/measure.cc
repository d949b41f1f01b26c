#include "measure.h"

namespace banyanknot::measure {

nlohmann::json ToJson(const std::string& name, const Finding& finding) {
  if (!finding.error.empty()) {
    return {{"measure", name}, {"holds", false}, {"error", finding.error}};
  }
  const bool has_baseline = finding.baseline > 0;
  const double ratio = has_baseline ? finding.value / finding.baseline : 0;
  const double judged = finding.bound_is_ratio ? ratio : finding.value;
  const bool within = finding.side == BoundSide::kAtMost
                          ? judged <= finding.bound
                          : judged >= finding.bound;
  nlohmann::json line = {
      {"measure", name},
      {"value", finding.value},
      {"unit", finding.unit},
      {"baseline",
       has_baseline ? nlohmann::json(finding.baseline) : nlohmann::json()},
      {"ratio", has_baseline ? nlohmann::json(ratio) : nlohmann::json()},
      {"bound", finding.bound},
      {"holds", within && finding.also_holds}};
  if (!finding.details.empty()) line["details"] = finding.details;
  return line;
}

}  // namespace banyanknot::measure
