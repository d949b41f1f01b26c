#ifndef BANYANKNOT_COORDINATION_QUERY_REPLICA_SCORE_H_
#define BANYANKNOT_COORDINATION_QUERY_REPLICA_SCORE_H_

#include "banyanknot/state/catalogue.h"
#include "banyanknot/state/server_record.h"

namespace banyanknot::coordination::internal {

/// \brief Rating of a replica for the next attempt; lower is better.
struct ReplicaScore {
  int tier = 0;            ///< 0 warm, 1 not known to be warm, 2 leaving
  double latency_ms = 0;   ///< expected without load; 0 if unknown
  double utilization = 1;  ///< load per slot, including this sub-request
  double penalty = 1;      ///< cost factor for recent failures
};

/// \brief Returns the score of a server from its record at this host.
ReplicaScore ScoreOf(const state::ServerEntry& server,
                     const state::ServerRecord& record, state::TimePoint now);

/// \brief Returns the score of a server without a record.
ReplicaScore ScoreOfUnknown(const state::ServerEntry& server);

/// \brief Returns the expected cost of an attempt, comparable within one tier.
/// \param default_latency_ms used if the latency is unknown
double CostOf(const ReplicaScore& score, double default_latency_ms);

}  // namespace banyanknot::coordination::internal

#endif  // BANYANKNOT_COORDINATION_QUERY_REPLICA_SCORE_H_
