#ifndef BANYANKNOT_COORDINATION_QUERY_QUERY_EFFECTS_H_
#define BANYANKNOT_COORDINATION_QUERY_QUERY_EFFECTS_H_

#include <optional>
#include <vector>

#include "banyanknot/state/answer.h"
#include "banyanknot/state/sub_request.h"

namespace banyanknot::coordination {

/// \brief What a QueryRun asks its executor to do next.
struct QueryEffects {
  std::vector<state::SubRequest> send;
  std::vector<state::SubRequest> cancel;
  std::optional<state::TimePoint> wake_at;  ///< when to call OnWake()
  std::optional<state::Answer> answer;      ///< set once, when the query ends
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_QUERY_EFFECTS_H_
