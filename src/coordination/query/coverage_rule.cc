#include "banyanknot/coordination/query/coverage_rule.h"

#include <algorithm>

namespace banyanknot::coordination {

CoverageRule::CoverageRule(const state::ServiceEntry& service,
                           const state::Query& query) {
  if (service.service_class == state::ServiceClass::kWhole) return;
  this->minimum = std::max(service.limits.min_coverage, query.min_coverage);
  this->returns_records_below_minimum = true;
}

}  // namespace banyanknot::coordination
