#ifndef BANYANKNOT_COORDINATION_QUERY_REPLICA_SCORE_H_
#define BANYANKNOT_COORDINATION_QUERY_REPLICA_SCORE_H_

#include "banyanknot/state/catalogue.h"
#include "banyanknot/state/server_record.h"

namespace banyanknot::coordination::internal {

/// \brief How good a replica is to send to; what is less is better.
struct ReplicaScore {
  int tier = 0;            ///< 0 warm, 1 not known to be warm, 2 leaving
  double latency_ms = 0;   ///< expected when idle; 0 if not known
  double utilization = 1;  ///< load, this sub-request too, for each slot
  double penalty = 1;      ///< factor for recent failures
};

/// \brief Scores a server by what this host knows of it.
ReplicaScore ScoreOf(const state::ServerEntry& server,
                     const state::ServerRecord& record, state::TimePoint now);

/// \brief The score of a server of which nothing is known.
ReplicaScore ScoreOfUnknown(const state::ServerEntry& server);

/// \brief Expected cost of sending, comparable within one tier.
/// \param default_latency_ms stands in where the latency is not known
double CostOf(const ReplicaScore& score, double default_latency_ms);

}  // namespace banyanknot::coordination::internal

#endif  // BANYANKNOT_COORDINATION_QUERY_REPLICA_SCORE_H_
