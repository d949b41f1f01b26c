#include "banyanknot/coordination/random_replica_selector.h"

#include <cstddef>
#include <utility>

namespace banyanknot::coordination {

void RandomReplicaSelector::Rank(
    std::vector<const state::ServerEntry*>& candidates) {
  for (std::size_t left = candidates.size(); left > 1; --left) {
    std::swap(candidates[left - 1], candidates[this->random.Below(left)]);
  }
}

}  // namespace banyanknot::coordination
