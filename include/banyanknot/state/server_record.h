#ifndef BANYANKNOT_STATE_SERVER_RECORD_H_
#define BANYANKNOT_STATE_SERVER_RECORD_H_

#include <cstdint>
#include <vector>

#include "banyanknot/state/identifier.h"
#include "banyanknot/state/server_phase.h"
#include "banyanknot/state/sharded_table.h"
#include "banyanknot/state/sub_request.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::state {

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
};

/// \brief The backend servers that this host knows of.
using ServerTable = ShardedTable<ServerId, ServerRecord>;

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_SERVER_RECORD_H_
