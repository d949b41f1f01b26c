#ifndef BANYANKNOT_COORDINATION_ROUTING_ROUTE_CHECK_H_
#define BANYANKNOT_COORDINATION_ROUTING_ROUTE_CHECK_H_

#include <vector>

#include "banyanknot/coordination/routing/route_finding.h"
#include "banyanknot/state/routing/route_table.h"
#include "banyanknot/state/util/time.h"

namespace banyanknot::coordination {

/// \brief Finds items of a table that can never match and limits that
/// contradict each other, which hosts accept nevertheless.
/// \param quota_window in which the deployment counts quotas
std::vector<RouteFinding> CheckRoutes(const state::RouteTable& table,
                                      state::Duration quota_window);

/// \brief Finds what keeps a table from replacing the one in force.
std::vector<RouteFinding> CheckSuccession(const state::RouteTable& in_force,
                                          const state::RouteTable& next);

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_ROUTE_CHECK_H_
