#ifndef BANYANKNOT_STATE_ROUTING_ROUTE_TABLE_H_
#define BANYANKNOT_STATE_ROUTING_ROUTE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "banyanknot/state/routing/route.h"
#include "banyanknot/state/routing/workspace.h"

namespace banyanknot::state {

/// \brief All routes of one version; immutable.
class RouteTable {
 public:
  RouteTable(std::uint64_t version, std::vector<Route> routes,
             std::vector<ServiceSpec> services, CallerLimits limits,
             std::optional<std::vector<Workspace>> workspaces = {});

  std::uint64_t Version() const { return this->version; }
  const CallerLimits& Limits() const { return this->limits; }
  const std::vector<Route>& Routes() const { return this->routes; }
  const std::vector<ServiceSpec>& Services() const { return this->services; }

  /// \brief Returns true if this version has workspaces, even an empty list of
  /// them; requests need a key then.
  bool RequiresKeys() const { return this->requires_keys; }
  const std::vector<WorkspacePtr>& Workspaces() const {
    return this->workspaces;
  }

  /// \returns the workspace that a key belongs to; null for an unknown key
  WorkspacePtr FindWorkspace(const KeyDigest& key) const;
  /// \returns null if this version does not have the workspace
  WorkspacePtr FindWorkspaceById(const WorkspaceId& id) const;
  /// \brief Returns true if some workspace has a limited quota.
  bool HasQuotas() const { return this->has_quotas; }

  /// \brief Finds the route of `host` with the longest prefix of `path`.
  /// \param host case and port are ignored
  /// \param path without its query
  /// \returns null if there is none
  const Route* Match(std::string_view host, std::string_view path) const;

  /// \returns null if this version does not have the service
  const ServiceSpec* FindService(const ServiceId& id) const;

 private:
  const std::uint64_t version;
  const std::vector<Route> routes;
  const std::vector<ServiceSpec> services;
  const CallerLimits limits;
  const bool requires_keys;
  bool has_quotas = false;
  std::vector<WorkspacePtr> workspaces;
  std::unordered_map<std::string, std::size_t> route_by_key;
  std::unordered_map<ServiceId, std::size_t> service_by_id;
  std::unordered_map<KeyDigest, WorkspacePtr> workspace_by_key;
  std::unordered_map<WorkspaceId, WorkspacePtr> workspace_by_id;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// \brief Returns the host name in lower case, without a port.
std::string NormalizeHost(std::string_view host);

}  // namespace banyanknot::state

#endif  // BANYANKNOT_STATE_ROUTING_ROUTE_TABLE_H_
