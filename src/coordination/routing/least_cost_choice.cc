#include "banyanknot/coordination/routing/least_cost_choice.h"

#include "banyanknot/state/util/assert.h"
#include "estimated_time.h"

namespace banyanknot::coordination {
namespace {

/// Older load reports are ignored.
constexpr state::Duration kLoadReportLifetime = state::Milliseconds(250);

double OthersAt(const ServerObservation& server) {
  if (!server.others || server.others->age >= kLoadReportLifetime) return 0;
  return server.others->count;
}

}  // namespace

std::size_t LeastCostChoice::Choose(
    const std::vector<ServerObservation>& candidates) const {
  BANYANKNOT_ASSERT(!candidates.empty(), "there must be a candidate");
  std::size_t best = 0;
  state::Duration best_time =
      EstimatedTime(candidates.front(), OthersAt(candidates.front()));
  for (std::size_t index = 1; index < candidates.size(); ++index) {
    const state::Duration time =
        EstimatedTime(candidates[index], OthersAt(candidates[index]));
    if (time >= best_time) continue;
    best = index;
    best_time = time;
  }
  return best;
}

}  // namespace banyanknot::coordination
