#ifndef BANYANKNOT_COORDINATION_QUERY_QUERY_OUTCOME_H_
#define BANYANKNOT_COORDINATION_QUERY_QUERY_OUTCOME_H_

#include <string>

#include "banyanknot/state/outcome.h"

namespace banyanknot::coordination {

/// \brief What an outcome is judged by.
struct QueryFacts {
  double coverage = 0;
  double floor = 1;
  bool may_have_run = false;   ///< some attempt is not proven not to have run
  bool only_rejected = false;  ///< every attempt ran and was rejected
  bool is_past_deadline = false;
};

/// \brief Judges how a query ended.
///
/// kNotRun only if each attempt is proven not to have run.
state::Outcome JudgeOutcome(const QueryFacts& facts);

/// \brief Says for people why a query ended as it did; empty for kOk.
std::string ReasonOf(state::Outcome outcome, const QueryFacts& facts);

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_QUERY_OUTCOME_H_
