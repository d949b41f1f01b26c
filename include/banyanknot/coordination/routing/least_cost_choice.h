#ifndef BANYANKNOT_COORDINATION_ROUTING_LEAST_COST_CHOICE_H_
#define BANYANKNOT_COORDINATION_ROUTING_LEAST_COST_CHOICE_H_

#include <cstddef>
#include <vector>

#include "banyanknot/coordination/routing/server_choice.h"

namespace banyanknot::coordination {

/// \brief Chooses the server of the least estimated time; the first of equals.
///
/// Trusts a load report fully until it expires. Good for few hosts; many hosts
/// with the same reports all choose the same server.
class LeastCostChoice : public ServerChoice {
 public:
  std::size_t Choose(
      const std::vector<ServerObservation>& candidates) const override;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_LEAST_COST_CHOICE_H_
