#ifndef BANYANKNOT_COORDINATION_ROUTING_ROUTE_PLACE_H_
#define BANYANKNOT_COORDINATION_ROUTING_ROUTE_PLACE_H_

#include <cstddef>

namespace banyanknot::coordination {

/// \brief What a route table consists of.
enum class RouteItem { kTable, kRoute, kService, kWorkspace };

/// \brief A member of a route table's item; kWhole for the item itself.
enum class RouteMember {
  kWhole,
  kVersion,
  kName,
  kPrefix,
  kSplit,
  kWeight,
  kShard,
  kTopK,
  kMinCoverage,
  kMaxAttempts,
  kTimeout,
  kKeys,
  kRate,
  kBurst,
};

/// \brief A place in a route table, whatever the form it was read from.
struct RoutePlace {
  RouteItem item = RouteItem::kTable;
  std::size_t index = 0;  ///< of the route, service or workspace
  RouteMember member = RouteMember::kWhole;
  std::size_t part = 0;  ///< of the split or the shards
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_ROUTE_PLACE_H_
