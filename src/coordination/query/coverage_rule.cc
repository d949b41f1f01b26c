#include "banyanknot/coordination/query/coverage_rule.h"

#include <algorithm>

namespace banyanknot::coordination {

CoverageRule::CoverageRule(const state::ServiceEntry& service,
                           const state::Query& query) {
  if (service.service_class == state::ServiceClass::kWhole) return;
  this->floor = std::max(service.limits.min_coverage, query.min_coverage);
  this->shows_short_answer = true;
}

}  // namespace banyanknot::coordination
