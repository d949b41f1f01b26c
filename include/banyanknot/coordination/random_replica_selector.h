#ifndef BANYANKNOT_COORDINATION_RANDOM_REPLICA_SELECTOR_H_
#define BANYANKNOT_COORDINATION_RANDOM_REPLICA_SELECTOR_H_

#include <vector>

#include "banyanknot/coordination/random_source.h"
#include "banyanknot/coordination/replica_selector.h"

namespace banyanknot::coordination {

/// \brief Baseline: ranks replicas at random.
class RandomReplicaSelector : public ReplicaSelector {
 public:
  explicit RandomReplicaSelector(RandomSource& random) : random(random) {}
  void Rank(std::vector<const state::ServerEntry*>& candidates) override;

 private:
  RandomSource& random;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_RANDOM_REPLICA_SELECTOR_H_
