#ifndef BANYANKNOT_COORDINATION_ROUTING_RELAY_ANSWER_H_
#define BANYANKNOT_COORDINATION_ROUTING_RELAY_ANSWER_H_

#include <cstddef>
#include <string>
#include <vector>

#include "banyanknot/coordination/routing/relay_client.h"
#include "banyanknot/state/routing/relay_outcome.h"
#include "banyanknot/state/routing/relay_reason.h"

namespace banyanknot::coordination {

/// \brief What a caller is told of its request.
struct RelayAnswer {
  state::RelayOutcome outcome = state::RelayOutcome::kNotRun;
  RelayReply reply;                     ///< of kAnswered
  std::string body;                     ///< of kWhole and kPartial
  std::vector<std::string> signatures;  ///< of the parts that were merged
  std::size_t missing = 0;              ///< shards that were left out
  state::Duration retry_after{0};       ///< of kNotRun and kNotConfigured
  state::RelayReason reason = state::RelayReason::kNone;  ///< for the log
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RELAY_ANSWER_H_
