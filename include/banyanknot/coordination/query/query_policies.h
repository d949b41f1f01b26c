#ifndef BANYANKNOT_COORDINATION_QUERY_QUERY_POLICIES_H_
#define BANYANKNOT_COORDINATION_QUERY_QUERY_POLICIES_H_

#include "banyanknot/coordination/query/admission_policy.h"
#include "banyanknot/coordination/query/hedge_policy.h"
#include "banyanknot/coordination/query/retry_policy.h"
#include "banyanknot/coordination/query/snapshot_policy.h"
#include "banyanknot/coordination/replica_selector.h"
#include "banyanknot/coordination/server_gate.h"

namespace banyanknot::coordination {

/// \brief The policies that all queries of a host share.
struct QueryPolicies {
  AdmissionPolicy& admission;
  SnapshotPolicy& snapshots;
  ReplicaSelector& selector;
  ServerGate& gate;
  HedgePolicy& hedges;
  RetryPolicy& retries;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_QUERY_POLICIES_H_
