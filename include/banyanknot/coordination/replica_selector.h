#ifndef BANYANKNOT_COORDINATION_REPLICA_SELECTOR_H_
#define BANYANKNOT_COORDINATION_REPLICA_SELECTOR_H_

#include <vector>

#include "banyanknot/state/catalogue.h"

namespace banyanknot::coordination {

/// \brief Ranks the replicas of a shard for the next attempt.
///
/// Thread-safe.
class ReplicaSelector {
 public:
  virtual ~ReplicaSelector() = default;

  /// \brief Sorts `candidates`, best first.
  /// \param candidates servers that hold the shard; may be empty
  virtual void Rank(std::vector<const state::ServerEntry*>& candidates) = 0;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_REPLICA_SELECTOR_H_
