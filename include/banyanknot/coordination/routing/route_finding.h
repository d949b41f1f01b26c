#ifndef BANYANKNOT_COORDINATION_ROUTING_ROUTE_FINDING_H_
#define BANYANKNOT_COORDINATION_ROUTING_ROUTE_FINDING_H_

#include <array>
#include <string>
#include <string_view>

#include "banyanknot/coordination/routing/route_place.h"
#include "banyanknot/state/enum_names.h"

namespace banyanknot::coordination {

/// \brief Why an item of a route table doesn't do what its author wants.
enum class RouteFindingKind {
  kNotNewer,           ///< hosts keep the version in force
  kRepeatedName,       ///< an earlier item has the same name
  kShadowedRoute,      ///< an earlier route has the same host and prefix
  kUnmatchablePrefix,  ///< no path has such a prefix
  kUnknownService,     ///< the version has no such service
  kRepeatedService,    ///< a route names the service twice
  kUnusedService,      ///< no route names the service
  kNoWeight,           ///< the service gets no requests of the route
  kNoAttempts,         ///< a request of the route may reach no server
  kNoCoverage,         ///< an answer needs no shard
  kNoRecords,          ///< an answer has no records
  kObjectiveTooLong,   ///< requests end before they are late
  kNoKeys,             ///< no caller belongs to the workspace
  kBurstWithoutRate,   ///< without a rate there is no limit
  kScantRate,          ///< credit returns far too seldom to serve callers
};

/// \brief Names of RouteFindingKind as the command line shows them.
inline constexpr std::array<state::EnumName<RouteFindingKind>, 15>
    kRouteFindingKindNames{{
        {RouteFindingKind::kNotNewer, "not_newer"},
        {RouteFindingKind::kRepeatedName, "repeated_name"},
        {RouteFindingKind::kShadowedRoute, "shadowed_route"},
        {RouteFindingKind::kUnmatchablePrefix, "unmatchable_prefix"},
        {RouteFindingKind::kUnknownService, "unknown_service"},
        {RouteFindingKind::kRepeatedService, "repeated_service"},
        {RouteFindingKind::kUnusedService, "unused_service"},
        {RouteFindingKind::kNoWeight, "no_weight"},
        {RouteFindingKind::kNoAttempts, "no_attempts"},
        {RouteFindingKind::kNoCoverage, "no_coverage"},
        {RouteFindingKind::kNoRecords, "no_records"},
        {RouteFindingKind::kObjectiveTooLong, "objective_too_long"},
        {RouteFindingKind::kNoKeys, "no_keys"},
        {RouteFindingKind::kBurstWithoutRate, "burst_without_rate"},
        {RouteFindingKind::kScantRate, "scant_rate"},
    }};

/// \brief Returns the name of a RouteFindingKind.
constexpr std::string_view NameOf(RouteFindingKind value) {
  return state::FindName(kRouteFindingKindNames, value);
}

/// \brief One fault of a route table.
struct RouteFinding {
  RouteFindingKind kind = RouteFindingKind::kNotNewer;
  RoutePlace place;
  std::string detail;  ///< never has a key
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_ROUTE_FINDING_H_
