#include "banyanknot/coordination/query/query_outcome.h"

namespace banyanknot::coordination {

state::Outcome DetermineOutcome(const QueryEndState& end_state) {
  if (end_state.coverage > 0 && end_state.coverage >= end_state.min_coverage) {
    return state::Outcome::kOk;
  }
  if (!end_state.may_have_run) return state::Outcome::kNotRun;
  if (end_state.only_rejected) return state::Outcome::kFailed;
  return end_state.is_past_deadline ? state::Outcome::kDeadline
                                    : state::Outcome::kCoverageShort;
}

std::string ReasonOf(state::Outcome outcome, const QueryEndState& end_state) {
  const std::string reached =
      "; replies covered " + std::to_string(end_state.coverage);
  switch (outcome) {
    case state::Outcome::kOk:
      return "";
    case state::Outcome::kNotRun:
      return "no backend server could take the query";
    case state::Outcome::kFailed:
      return "backend servers rejected the query";
    case state::Outcome::kDeadline:
      return "deadline passed" + reached;
    case state::Outcome::kCoverageShort:
      return "no replica is left to ask" + reached;
    case state::Outcome::kUnknown:
    case state::Outcome::kInvalid:
      return std::string(NameOf(outcome));
  }
  return "";
}

}  // namespace banyanknot::coordination
