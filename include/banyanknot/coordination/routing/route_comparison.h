#ifndef BANYANKNOT_COORDINATION_ROUTING_ROUTE_COMPARISON_H_
#define BANYANKNOT_COORDINATION_ROUTING_ROUTE_COMPARISON_H_

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "banyanknot/coordination/routing/route_place.h"
#include "banyanknot/state/enum_names.h"
#include "banyanknot/state/routing/route_table.h"

namespace banyanknot::coordination {

/// \brief How an item differs between two route tables.
enum class RouteDifferenceKind { kAdded, kRemoved, kChanged };

/// \brief Names of RouteDifferenceKind as the command line shows them.
inline constexpr std::array<state::EnumName<RouteDifferenceKind>, 3>
    kRouteDifferenceKindNames{{
        {RouteDifferenceKind::kAdded, "added"},
        {RouteDifferenceKind::kRemoved, "removed"},
        {RouteDifferenceKind::kChanged, "changed"},
    }};

/// \brief Returns the name of a RouteDifferenceKind.
constexpr std::string_view NameOf(RouteDifferenceKind value) {
  return state::FindName(kRouteDifferenceKindNames, value);
}

/// \brief An item that differs between two route tables.
struct RouteDifference {
  RouteDifferenceKind kind = RouteDifferenceKind::kChanged;
  RoutePlace place;  ///< in the next table; in the one in force if removed
  std::string name;
  std::string detail;  ///< what changed; keys only as the start of a digest
};

/// \brief Lists what differs, with items paired by their names.
std::vector<RouteDifference> CompareRoutes(const state::RouteTable& in_force,
                                           const state::RouteTable& next);

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_ROUTE_COMPARISON_H_
