#include "banyanknot/state/routing/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace banyanknot::state {

std::string NormalizeHost(std::string_view host) {
  std::string normal(host.substr(0, host.find(':')));
  std::transform(normal.begin(), normal.end(), normal.begin(),
                 [](unsigned char letter) {
                   return static_cast<char>(std::tolower(letter));
                 });
  return normal;
}

RouteTable::RouteTable(std::uint64_t version, std::vector<Route> routes,
                       std::vector<ServiceSpec> services, CallerLimits limits,
                       std::optional<std::vector<Workspace>> workspaces)
    : version(version),
      routes(std::move(routes)),
      services(std::move(services)),
      limits(limits),
      requires_keys(workspaces.has_value()) {
  for (std::size_t index = 0; index < this->routes.size(); ++index) {
    const Route& route = this->routes[index];
    this->route_by_key.emplace(route.host + route.prefix, index);
  }
  for (std::size_t index = 0; index < this->services.size(); ++index) {
    this->service_by_id.emplace(this->services[index].id, index);
  }
  if (!workspaces) return;
  for (Workspace& workspace : *workspaces) {
    const WorkspacePtr shared =
        std::make_shared<const Workspace>(std::move(workspace));
    this->workspaces.push_back(shared);
    this->workspace_by_id.emplace(shared->id, shared);
    this->has_quotas = this->has_quotas || shared->quota.IsLimited();
    for (const KeyDigest& key : shared->keys) {
      this->workspace_by_key.emplace(key, shared);
    }
  }
}

WorkspacePtr RouteTable::FindWorkspaceById(const WorkspaceId& id) const {
  const auto found = this->workspace_by_id.find(id);
  return found == this->workspace_by_id.end() ? nullptr : found->second;
}

WorkspacePtr RouteTable::FindWorkspace(const KeyDigest& key) const {
  const auto found = this->workspace_by_key.find(key);
  return found == this->workspace_by_key.end() ? nullptr : found->second;
}

const Route* RouteTable::Match(std::string_view host,
                               std::string_view path) const {
  const std::string normal_host = NormalizeHost(host);
  std::size_t end = path.rfind('/');
  while (end != std::string_view::npos) {
    std::string key = normal_host;
    key.append(path.substr(0, end + 1));
    const auto found = this->route_by_key.find(key);
    if (found != this->route_by_key.end()) return &this->routes[found->second];
    if (end == 0) break;
    end = path.rfind('/', end - 1);
  }
  return nullptr;
}

const ServiceSpec* RouteTable::FindService(const ServiceId& id) const {
  const auto found = this->service_by_id.find(id);
  return found == this->service_by_id.end() ? nullptr
                                            : &this->services[found->second];
}

}  // namespace banyanknot::state
