#include "banyanknot/coordination/routing/route_check.h"

#include <chrono>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace banyanknot::coordination {
namespace {

using Findings = std::vector<RouteFinding>;

/// A rate that returns less credit in a window is taken for a slip.
constexpr double kMinRequestsPerWindow = 0.1;

std::string Quoted(const std::string& text) { return "\"" + text + "\""; }

/// Finds names that stand twice among items of one sort.
class NameCheck {
 public:
  NameCheck(RouteItem item, Findings& findings)
      : item(item), findings(findings) {}

  void Add(std::size_t index, const std::string& name) {
    if (this->names.insert(name).second) return;
    this->findings.push_back({RouteFindingKind::kRepeatedName,
                              {this->item, index, RouteMember::kName},
                              Quoted(name)});
  }

 private:
  const RouteItem item;
  Findings& findings;
  std::set<std::string> names;
};

/// Returns true if a path without its query can begin with the prefix and the
/// table finds the route by it.
bool IsMatchable(const std::string& prefix) {
  return !prefix.empty() && prefix.front() == '/' && prefix.back() == '/' &&
         prefix.find_first_of("?#") == std::string::npos;
}

void CheckServiceOf(const state::RouteTable& table, RoutePlace place,
                    const state::ServiceId& service,
                    std::set<state::ServiceId>& seen, Findings& findings) {
  if (table.FindService(service) == nullptr) {
    findings.push_back(
        {RouteFindingKind::kUnknownService, place, Quoted(service.Text())});
  }
  if (!seen.insert(service).second) {
    findings.push_back(
        {RouteFindingKind::kRepeatedService, place, Quoted(service.Text())});
  }
}

void CheckRouteLimits(const state::Route& route, std::size_t index,
                      Findings& findings) {
  const auto add = [&findings, index](RouteFindingKind kind, RouteMember member,
                                      std::string detail) {
    findings.push_back(
        {kind, {RouteItem::kRoute, index, member}, std::move(detail)});
  };
  if (route.max_attempts == 0) {
    add(RouteFindingKind::kNoAttempts, RouteMember::kMaxAttempts,
        "no request is sent");
  }
  if (route.timeout < route.objective) {
    add(RouteFindingKind::kObjectiveTooLong, RouteMember::kTimeout,
        std::to_string(state::ToMilliseconds(route.timeout)) +
            " ms is shorter than the objective of " +
            std::to_string(state::ToMilliseconds(route.objective)) + " ms");
  }
  if (!route.IsGather()) return;
  if (route.min_coverage <= 0) {
    add(RouteFindingKind::kNoCoverage, RouteMember::kMinCoverage,
        "an answer may lack all shards");
  }
  if (route.top_k == 0) {
    add(RouteFindingKind::kNoRecords, RouteMember::kTopK,
        "an answer has no records");
  }
}

void CheckRoute(const state::RouteTable& table, std::size_t index,
                Findings& findings) {
  const state::Route& route = table.Routes()[index];
  if (!IsMatchable(route.prefix)) {
    findings.push_back({RouteFindingKind::kUnmatchablePrefix,
                        {RouteItem::kRoute, index, RouteMember::kPrefix},
                        Quoted(route.prefix) +
                            " must begin and end with a slash, without query"});
  }
  std::set<state::ServiceId> seen;
  for (std::size_t part = 0; part < route.split.size(); ++part) {
    const state::WeightedService& share = route.split[part];
    CheckServiceOf(table, {RouteItem::kRoute, index, RouteMember::kSplit, part},
                   share.service, seen, findings);
    if (share.weight <= 0) {
      findings.push_back(
          {RouteFindingKind::kNoWeight,
           {RouteItem::kRoute, index, RouteMember::kWeight, part},
           Quoted(share.service.Text()) + " gets no requests"});
    }
  }
  for (std::size_t part = 0; part < route.shards.size(); ++part) {
    CheckServiceOf(table, {RouteItem::kRoute, index, RouteMember::kShard, part},
                   route.shards[part], seen, findings);
  }
  CheckRouteLimits(route, index, findings);
}

void CheckAllRoutes(const state::RouteTable& table, Findings& findings) {
  NameCheck names(RouteItem::kRoute, findings);
  std::unordered_map<std::string, std::size_t> index_by_key;
  for (std::size_t index = 0; index < table.Routes().size(); ++index) {
    const state::Route& route = table.Routes()[index];
    names.Add(index, route.name);
    const auto first = index_by_key.emplace(route.host + route.prefix, index);
    if (!first.second) {
      const state::Route& earlier = table.Routes()[first.first->second];
      findings.push_back(
          {RouteFindingKind::kShadowedRoute,
           {RouteItem::kRoute, index},
           "route " + Quoted(earlier.name) + " has the same host and prefix"});
    }
    CheckRoute(table, index, findings);
  }
}

void CheckServices(const state::RouteTable& table, Findings& findings) {
  std::set<state::ServiceId> used;
  for (const state::Route& route : table.Routes()) {
    for (const state::WeightedService& share : route.split) {
      used.insert(share.service);
    }
    used.insert(route.shards.begin(), route.shards.end());
  }
  NameCheck names(RouteItem::kService, findings);
  for (std::size_t index = 0; index < table.Services().size(); ++index) {
    const state::ServiceId& id = table.Services()[index].id;
    names.Add(index, id.Text());
    if (used.count(id) > 0) continue;
    findings.push_back({RouteFindingKind::kUnusedService,
                        {RouteItem::kService, index},
                        Quoted(id.Text()) + " is in no route"});
  }
}

void CheckWorkspaces(const state::RouteTable& table,
                     state::Duration quota_window, Findings& findings) {
  const double window_s = std::chrono::duration<double>(quota_window).count();
  for (std::size_t index = 0; index < table.Workspaces().size(); ++index) {
    const state::Workspace& workspace = *table.Workspaces()[index];
    const auto add = [&](RouteFindingKind kind, RouteMember member,
                         const std::string& detail) {
      findings.push_back({kind,
                          {RouteItem::kWorkspace, index, member},
                          "workspace " + Quoted(workspace.id.Text()) + detail});
    };
    if (workspace.keys.empty()) {
      add(RouteFindingKind::kNoKeys, RouteMember::kKeys, " has no keys");
    }
    const state::Quota& quota = workspace.quota;
    if (!quota.IsLimited()) {
      if (quota.burst > 0) {
        add(RouteFindingKind::kBurstWithoutRate, RouteMember::kBurst,
            " has no limit without a rate");
      }
    } else if (quota.rate * window_s < kMinRequestsPerWindow) {
      add(RouteFindingKind::kScantRate, RouteMember::kRate,
          " gets one request in " + std::to_string(1 / quota.rate) + " s");
    }
  }
}

}  // namespace

std::vector<RouteFinding> CheckRoutes(const state::RouteTable& table,
                                      state::Duration quota_window) {
  Findings findings;
  CheckAllRoutes(table, findings);
  CheckServices(table, findings);
  CheckWorkspaces(table, quota_window, findings);
  return findings;
}

std::vector<RouteFinding> CheckSuccession(const state::RouteTable& in_force,
                                          const state::RouteTable& next) {
  if (next.Version() > in_force.Version()) return {};
  return {{RouteFindingKind::kNotNewer,
           {RouteItem::kTable, 0, RouteMember::kVersion},
           "version " + std::to_string(next.Version()) +
               " does not replace version " +
               std::to_string(in_force.Version())}};
}

}  // namespace banyanknot::coordination
