#ifndef BANYANKNOT_COORDINATION_QUERY_COVERAGE_RULE_H_
#define BANYANKNOT_COORDINATION_QUERY_COVERAGE_RULE_H_

#include "banyanknot/state/answer.h"
#include "banyanknot/state/catalogue.h"

namespace banyanknot::coordination {

/// \brief The coverage that an answer needs, by the service's class.
class CoverageRule {
 public:
  CoverageRule(const state::ServiceEntry& service, const state::Query& query);

  /// \brief Returns the minimum share of the key space for an ok answer.
  double MinCoverage() const { return this->minimum; }

  /// \brief Tells whether a partial answer can be ok.
  bool AllowsPartial() const { return this->minimum < 1; }

  /// \brief Tells whether an answer below the minimum still holds its records.
  ///
  /// False where a caller could mistake a partial answer for a whole one.
  bool ReturnsRecordsBelowMinimum() const {
    return this->returns_records_below_minimum;
  }

 private:
  double minimum = 1;
  bool returns_records_below_minimum = false;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_COVERAGE_RULE_H_
