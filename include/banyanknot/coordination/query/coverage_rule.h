#ifndef BANYANKNOT_COORDINATION_QUERY_COVERAGE_RULE_H_
#define BANYANKNOT_COORDINATION_QUERY_COVERAGE_RULE_H_

#include "banyanknot/state/answer.h"
#include "banyanknot/state/catalogue.h"

namespace banyanknot::coordination {

/// \brief What coverage makes an answer good enough, by the service's class.
class CoverageRule {
 public:
  CoverageRule(const state::ServiceEntry& service, const state::Query& query);

  /// \brief Least share of the key space that makes an answer.
  double Floor() const { return this->floor; }

  /// \brief Tells whether an answer that is not whole is any use.
  bool AllowsPartial() const { return this->floor < 1; }

  /// \brief Tells whether an answer below the floor still shows its records.
  ///
  /// Not where a partial answer could be taken for a whole one.
  bool ShowsShortAnswer() const { return this->shows_short_answer; }

 private:
  double floor = 1;
  bool shows_short_answer = false;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_COVERAGE_RULE_H_
