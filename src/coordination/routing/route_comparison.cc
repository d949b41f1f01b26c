#include "banyanknot/coordination/routing/route_comparison.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <iterator>
#include <map>
#include <set>

namespace banyanknot::coordination {
namespace {

constexpr std::size_t kShownDigestChars = 8;
constexpr std::size_t kMaxShownKeys = 8;

/// Collects the names of what changed in one item.
class ChangeList {
 public:
  void AddIf(bool is_changed, std::string_view what) {
    if (!is_changed) return;
    if (!this->text.empty()) this->text += ", ";
    this->text += what;
  }
  const std::string& Text() const { return this->text; }

 private:
  std::string text;
};

bool IsSameSplit(const std::vector<state::WeightedService>& left,
                 const std::vector<state::WeightedService>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const state::WeightedService& one,
                       const state::WeightedService& other) {
                      return one.service == other.service &&
                             one.weight == other.weight;
                    });
}

std::string ChangesOf(const state::Route& before, const state::Route& after) {
  ChangeList changes;
  changes.AddIf(before.host != after.host, "host");
  changes.AddIf(before.prefix != after.prefix, "prefix");
  changes.AddIf(!IsSameSplit(before.split, after.split), "services");
  changes.AddIf(before.shards != after.shards, "shards");
  changes.AddIf(before.top_k != after.top_k, "records");
  changes.AddIf(before.min_coverage != after.min_coverage, "minimum coverage");
  changes.AddIf(before.is_idempotent != after.is_idempotent, "idempotence");
  changes.AddIf(before.max_attempts != after.max_attempts, "attempts");
  changes.AddIf(before.timeout != after.timeout, "timeout");
  changes.AddIf(before.objective != after.objective, "objective");
  changes.AddIf(before.priority != after.priority, "priority");
  changes.AddIf(before.needs_key != after.needs_key, "need of a key");
  return changes.Text();
}

std::string ChangesOf(const state::ServiceSpec& before,
                      const state::ServiceSpec& after) {
  ChangeList changes;
  changes.AddIf(before.health_path != after.health_path, "health path");
  changes.AddIf(before.max_connections != after.max_connections, "connections");
  changes.AddIf(before.warm_up != after.warm_up, "warm-up");
  changes.AddIf(before.cold_rate != after.cold_rate, "cold rate");
  return changes.Text();
}

/// Names the keys that only `keys` has by the start of their digests.
std::string KeysOnlyIn(const std::set<state::KeyDigest>& keys,
                       const std::set<state::KeyDigest>& other, char mark) {
  std::vector<state::KeyDigest> difference;
  std::set_difference(keys.begin(), keys.end(), other.begin(), other.end(),
                      std::back_inserter(difference));
  std::string text;
  for (std::size_t index = 0; index < difference.size(); ++index) {
    text += ' ';
    if (index == kMaxShownKeys) return text + "...";
    text += mark + difference[index].Text().substr(0, kShownDigestChars);
  }
  return text;
}

std::string ChangesOf(const state::Workspace& before,
                      const state::Workspace& after) {
  ChangeList changes;
  const std::set<state::KeyDigest> old_keys(before.keys.begin(),
                                            before.keys.end());
  const std::set<state::KeyDigest> new_keys(after.keys.begin(),
                                            after.keys.end());
  changes.AddIf(old_keys != new_keys,
                "keys " + std::to_string(old_keys.size()) + " to " +
                    std::to_string(new_keys.size()) + ":" +
                    KeysOnlyIn(old_keys, new_keys, '-') +
                    KeysOnlyIn(new_keys, old_keys, '+'));
  changes.AddIf(before.priority != after.priority, "priority");
  changes.AddIf(before.quota.rate != after.quota.rate, "rate");
  changes.AddIf(before.quota.burst != after.quota.burst, "burst");
  return changes.Text();
}

/// An item by its name, with its place in the table.
template <typename Item>
struct Indexed {
  std::size_t index = 0;
  const Item* item = nullptr;
};

/// Adds what differs between items of one sort.
template <typename Item>
void CompareItems(RouteItem sort,
                  const std::map<std::string, Indexed<Item>>& before,
                  const std::map<std::string, Indexed<Item>>& after,
                  std::vector<RouteDifference>& differences) {
  for (const auto& [name, old_item] : before) {
    if (after.count(name) > 0) continue;
    differences.push_back(
        {RouteDifferenceKind::kRemoved, {sort, old_item.index}, name, ""});
  }
  for (const auto& [name, new_item] : after) {
    const auto found = before.find(name);
    if (found == before.end()) {
      differences.push_back(
          {RouteDifferenceKind::kAdded, {sort, new_item.index}, name, ""});
      continue;
    }
    std::string changes = ChangesOf(*found->second.item, *new_item.item);
    if (changes.empty()) continue;
    differences.push_back({RouteDifferenceKind::kChanged,
                           {sort, new_item.index},
                           name,
                           std::move(changes)});
  }
}

std::map<std::string, Indexed<state::Route>> RoutesOf(
    const state::RouteTable& table) {
  std::map<std::string, Indexed<state::Route>> routes;
  for (std::size_t index = 0; index < table.Routes().size(); ++index) {
    const state::Route& route = table.Routes()[index];
    routes.emplace(route.name, Indexed<state::Route>{index, &route});
  }
  return routes;
}

std::map<std::string, Indexed<state::ServiceSpec>> ServicesOf(
    const state::RouteTable& table) {
  std::map<std::string, Indexed<state::ServiceSpec>> services;
  for (std::size_t index = 0; index < table.Services().size(); ++index) {
    const state::ServiceSpec& service = table.Services()[index];
    services.emplace(service.id.Text(),
                     Indexed<state::ServiceSpec>{index, &service});
  }
  return services;
}

std::map<std::string, Indexed<state::Workspace>> WorkspacesOf(
    const state::RouteTable& table) {
  std::map<std::string, Indexed<state::Workspace>> workspaces;
  for (std::size_t index = 0; index < table.Workspaces().size(); ++index) {
    const state::WorkspacePtr& workspace = table.Workspaces()[index];
    workspaces.emplace(workspace->id.Text(),
                       Indexed<state::Workspace>{index, workspace.get()});
  }
  return workspaces;
}

std::string LimitChanges(const state::CallerLimits& before,
                         const state::CallerLimits& after) {
  ChangeList changes;
  changes.AddIf(before.max_header_bytes != after.max_header_bytes,
                "header size");
  changes.AddIf(before.max_body_bytes != after.max_body_bytes, "body size");
  changes.AddIf(before.header_timeout != after.header_timeout,
                "header timeout");
  changes.AddIf(before.idle_timeout != after.idle_timeout, "idle timeout");
  return changes.Text();
}

}  // namespace

std::vector<RouteDifference> CompareRoutes(const state::RouteTable& in_force,
                                           const state::RouteTable& next) {
  std::vector<RouteDifference> differences;
  ChangeList whole;
  whole.AddIf(
      in_force.RequiresKeys() != next.RequiresKeys(),
      next.RequiresKeys() ? "callers need keys" : "callers need no keys");
  const std::string limits = LimitChanges(in_force.Limits(), next.Limits());
  whole.AddIf(!limits.empty(), limits);
  if (!whole.Text().empty()) {
    differences.push_back(
        {RouteDifferenceKind::kChanged, {}, "", whole.Text()});
  }
  CompareItems(RouteItem::kRoute, RoutesOf(in_force), RoutesOf(next),
               differences);
  CompareItems(RouteItem::kService, ServicesOf(in_force), ServicesOf(next),
               differences);
  CompareItems(RouteItem::kWorkspace, WorkspacesOf(in_force),
               WorkspacesOf(next), differences);
  return differences;
}

}  // namespace banyanknot::coordination
