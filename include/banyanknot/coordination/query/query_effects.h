#ifndef BANYANKNOT_COORDINATION_QUERY_QUERY_EFFECTS_H_
#define BANYANKNOT_COORDINATION_QUERY_QUERY_EFFECTS_H_

#include <optional>
#include <vector>

#include "banyanknot/state/answer.h"
#include "banyanknot/state/sub_request.h"

namespace banyanknot::coordination {

/// \brief Actions that a QueryRun requests of its executor.
struct QueryEffects {
  std::vector<state::SubRequest> send;
  std::vector<state::SubRequest> cancel;
  std::optional<state::TimePoint> next_timer_at;  ///< call OnTimer() then
  std::optional<state::Answer> answer;  ///< set once, when the query ends
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_QUERY_EFFECTS_H_
