#include "banyanknot/coordination/query/query_outcome.h"

namespace banyanknot::coordination {

state::Outcome JudgeOutcome(const QueryFacts& facts) {
  if (facts.coverage > 0 && facts.coverage >= facts.floor) {
    return state::Outcome::kOk;
  }
  if (!facts.may_have_run) return state::Outcome::kNotRun;
  if (facts.only_rejected) return state::Outcome::kFailed;
  return facts.is_past_deadline ? state::Outcome::kDeadline
                                : state::Outcome::kCoverageShort;
}

std::string ReasonOf(state::Outcome outcome, const QueryFacts& facts) {
  const std::string reached =
      "; replies covered " + std::to_string(facts.coverage);
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
