#ifndef BANYANKNOT_COORDINATION_QUERY_LOAD_AWARE_REPLICA_SELECTOR_H_
#define BANYANKNOT_COORDINATION_QUERY_LOAD_AWARE_REPLICA_SELECTOR_H_

#include <vector>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/random_source.h"
#include "banyanknot/coordination/replica_selector.h"
#include "banyanknot/state/server_record.h"

namespace banyanknot::coordination {

/// \brief Prefers the better of two random replicas, by load and latency.
///
/// The load is the reported one, decaying with the age of the report, and at
/// least the sub-requests in flight from this host. Servers that are not known
/// to be warm rank after warm ones, leaving ones last. Latency and failures
/// expire, so that a server that was slow or failing is tried again.
///
/// Thread-safe. \sa RandomReplicaSelector
class LoadAwareReplicaSelector : public ReplicaSelector {
 public:
  LoadAwareReplicaSelector(const Clock& clock, RandomSource& random,
                           const state::ServerTable& servers);
  void Rank(std::vector<const state::ServerEntry*>& candidates) override;

 private:
  const Clock& clock;
  RandomSource& random;
  const state::ServerTable& servers;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUERY_LOAD_AWARE_REPLICA_SELECTOR_H_
