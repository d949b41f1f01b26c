#ifndef BANYANKNOT_COORDINATION_ROUTING_RELAY_ANSWER_H_
#define BANYANKNOT_COORDINATION_ROUTING_RELAY_ANSWER_H_

#include <cstddef>
#include <string>
#include <vector>

#include "banyanknot/coordination/routing/relay_client.h"
#include "banyanknot/state/routing/relay_outcome.h"
#include "banyanknot/state/routing/relay_reason.h"

namespace banyanknot::coordination {

/// \brief The final answer to a caller.
struct RelayAnswer {
  state::RelayOutcome outcome = state::RelayOutcome::kNotRun;
  RelayReply reply;                     ///< if kAnswered
  std::string body;                     ///< if kWhole or kPartial
  std::vector<std::string> signatures;  ///< of the merged parts
  std::size_t missing = 0;              ///< shards without a reply
  state::Duration retry_after{0};       ///< if kNotRun or kNotConfigured
  state::RelayReason reason = state::RelayReason::kNone;  ///< for the log
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_RELAY_ANSWER_H_
