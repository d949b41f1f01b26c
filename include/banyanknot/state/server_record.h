#ifndef BANYANKNOT_STATE_SERVER_RECORD_H_
#define BANYANKNOT_STATE_SERVER_RECORD_H_

#include <cstdint>
#include <vector>

#include "banyanknot/state/endpoint.h"
#include "banyanknot/state/identifier.h"
#include "banyanknot/state/server_phase.h"
#include "banyanknot/state/sharded_table.h"
#include "banyanknot/state/sub_request.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::state {

/// \brief What the catalogue says a server bears; copied from its entry.
struct ServerLimits {
  FailureDomainId domain;
  Endpoint endpoint;
  std::uint32_t connections = 1;
  std::uint32_t slots = 1;
  std::uint32_t cold_slots = 1;
  Duration warm_up{0};
};

/// \brief An instance and since when it is known.
struct InstanceObservation {
  InstanceId instance;   ///< empty if none was seen
  TimePoint first_seen;  ///< counts as its start: it warms up from then on
};

/// \brief What this host knows of one backend server.
struct ServerRecord {
  InstanceId instance;  ///< the instance seen last; empty if none was
  ServerPhase phase = ServerPhase::kUnknown;
  TimePoint phase_since;
  ServerReport report;               ///< the latest; lags, and may mislead
  TimePoint reported_at;             ///< the epoch if there was no report
  std::uint32_t in_flight = 0;       ///< sub-requests from this host
  std::uint32_t cold_in_flight = 0;  ///< those that hold an owned cold slot
  Duration average_latency{0};       ///< moving average over replies; 0 if none
  std::uint32_t consecutive_failures = 0;
  TimePoint last_failure_at;
  std::vector<InstanceId> left_instances;  ///< seen leaving; never live again

  ServerLimits limits;
  InstanceObservation observation;           ///< of `instance`
  InstanceObservation previous_observation;  ///< of the instance before it
  bool needs_confirmation = false;           ///< was warm; a reply of the same
                                             ///< instance makes it so again
  bool is_listed = true;         ///< stands in the catalogue in force
  bool domain_was_out = false;   ///< its domain has not been seen in again
  Duration baseline_latency{0};  ///< slow moving average while warm; 0 if none
  std::uint32_t good_replies = 0;  ///< in a row, while not warm
  std::uint32_t slow_start_step =
      0;  ///< doublings of the cold slots while unknown
  TimePoint slow_start_step_since;
  std::uint32_t slow_replies = 0;      ///< in a row, while warm
  std::uint32_t others_in_flight = 0;  ///< reported, less this host's own
  TimePoint last_reply_at;             ///< the epoch if there was none
  TimePoint confirmed_at;  ///< latest start of work that `instance` answered
  TimePoint probed_at;     ///< when its health was asked for last
  TimePoint retry_at;      ///< unreachable: no attempt before this moment
};

/// \brief The backend servers that this host knows of.
using ServerTable = ShardedTable<ServerId, ServerRecord>;

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_SERVER_RECORD_H_
