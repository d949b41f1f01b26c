#ifndef BANYANKNOT_STATE_ACTION_H_
#define BANYANKNOT_STATE_ACTION_H_

#include <cstdint>
#include <string>
#include <vector>

#include "banyanknot/state/answer.h"
#include "banyanknot/state/identifier.h"
#include "banyanknot/state/outcome.h"
#include "banyanknot/state/ticket.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::state {

/// \brief A decoded and validated request that must run at most once.
struct Action {
  Ticket ticket;
  ServiceId service;
  std::uint64_t key = 0;  ///< selects the shard that runs it
  Duration deadline{0};   ///< time limit of the caller; 0 for the default
  std::string ask;        ///< JSON text, forwarded to one backend server
};

/// \brief The reply to the caller of an action.
///
/// kOk, kFailed and kNotRun are final for the ticket; kUnknown means that it
/// ran, runs or may have run. A repeated request never runs it a second time.
struct ActionReply {
  Outcome outcome = Outcome::kUnknown;
  std::string reason;  ///< human-readable cause of a failure
  std::vector<Record> records;
  Duration retry_after{0};  ///< 0 if the caller need not wait
};

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_ACTION_H_
