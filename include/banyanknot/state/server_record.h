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

/// \brief A server's limits, copied from its catalogue entry.
struct ServerLimits {
  FailureDomainId domain;
  Endpoint endpoint;
  std::uint32_t connections = 1;
  std::uint32_t slots = 1;
  std::uint32_t cold_slots = 1;
  Duration warm_up{0};
};

/// \brief An instance and when it was first seen.
struct InstanceObservation {
  InstanceId instance;   ///< empty if none was seen
  TimePoint first_seen;  ///< taken as its start; warm-up counts from here
};

/// \brief This host's record of one backend server.
struct ServerRecord {
  InstanceId instance;  ///< latest instance seen; empty if none
  ServerPhase phase = ServerPhase::kUnknown;
  TimePoint phase_since;
  ServerReport report;               ///< latest; delayed and may be inaccurate
  TimePoint reported_at;             ///< epoch if there was none
  std::uint32_t in_flight = 0;       ///< sub-requests from this host
  std::uint32_t cold_in_flight = 0;  ///< of those, holding an owned cold slot
  Duration average_latency{0};       ///< moving average of replies; 0 if none
  std::uint32_t consecutive_failures = 0;
  TimePoint last_failure_at;
  std::vector<InstanceId> left_instances;  ///< seen leaving; never used again

  ServerLimits limits;
  InstanceObservation observation;           ///< of `instance`
  InstanceObservation previous_observation;  ///< of the instance before
  bool needs_confirmation = false;           ///< was warm; a reply of the same
                                             ///< instance restores it
  bool is_listed = true;                     ///< is in the catalogue in force
  bool domain_was_out = false;   ///< domain was out; not seen in again since
  Duration baseline_latency{0};  ///< slow moving average while warm; 0 if none
  std::uint32_t good_replies = 0;     ///< in a row, while not warm
  std::uint32_t slow_start_step = 0;  ///< cold-slot doublings while unknown
  TimePoint slow_start_step_since;
  std::uint32_t slow_replies = 0;      ///< in a row, while warm
  std::uint32_t others_in_flight = 0;  ///< reported minus this host's
  TimePoint last_reply_at;             ///< epoch if there was none
  TimePoint confirmed_at;  ///< latest start of work answered by `instance`
  TimePoint probed_at;     ///< latest health check
  TimePoint retry_at;      ///< unreachable: no attempt before this moment
};

/// \brief All backend servers known to this host.
using ServerTable = ShardedTable<ServerId, ServerRecord>;

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_SERVER_RECORD_H_
