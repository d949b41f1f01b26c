#ifndef BANYANKNOT_COORDINATION_QUERY_QUERY_OUTCOME_H_
#define BANYANKNOT_COORDINATION_QUERY_QUERY_OUTCOME_H_

#include <string>

#include "banyanknot/state/outcome.h"

namespace banyanknot::coordination {

/// \brief State of a query at its end, from which its outcome follows.
struct QueryEndState {
  double coverage = 0;
  double min_coverage = 1;
  bool may_have_run = false;   ///< not every attempt is proven not to have run
  bool only_rejected = false;  ///< every attempt that may have run was rejected
  bool is_past_deadline = false;
};

/// \brief Determines the outcome of a query.
///
/// kNotRun only if every attempt is proven not to have run.
state::Outcome DetermineOutcome(const QueryEndState& end_state);

/// \brief Returns a human-readable reason for the outcome; empty for kOk.
std::string ReasonOf(state::Outcome outcome, const QueryEndState& end_state);

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_QUERY_OUTCOME_H_
