#include "banyanknot/coordination/query/coverage_rule.h"

#include <algorithm>

namespace banyanknot::coordination {

CoverageRule::CoverageRule(const state::ServiceEntry& service,
                           const state::Query& query) {
  if (service.service_class == state::ServiceClass::kWhole) return;
  this->floor = std::max(service.limits.coverage_floor, query.coverage_floor);
  this->shows_short_answer = true;
}

}  // namespace banyanknot::coordination
