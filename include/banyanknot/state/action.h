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

/// \brief A request that may not be repeated, decoded and checked for form.
struct Action {
  Ticket ticket;
  ServiceId service;
  std::uint64_t key = 0;  ///< tells the shard that runs it
  Duration deadline{0};   ///< time that the caller gives; 0 for the default
  std::string ask;        ///< JSON text, passed on to one backend server
};

/// \brief What a caller is told of its action.
///
/// kOk, kFailed and kNotRun are final for the ticket; kUnknown says that it
/// ran, runs or may have run, and asking again never runs it a second time.
struct ActionReply {
  Outcome outcome = Outcome::kUnknown;
  std::string reason;  ///< for people; names the cause of a failure
  std::vector<Record> records;
  Duration retry_after{0};  ///< 0 if the caller need not wait
};

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_ACTION_H_
