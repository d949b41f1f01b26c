#ifndef BANYANKNOT_COORDINATION_ROUTING_ROUTING_INTAKE_H_
#define BANYANKNOT_COORDINATION_ROUTING_ROUTING_INTAKE_H_

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <vector>

#include "banyanknot/coordination/event_log.h"
#include "banyanknot/coordination/routing/route_directory.h"
#include "banyanknot/coordination/routing/routing_source.h"
#include "banyanknot/coordination/routing/server_directory.h"
#include "banyanknot/coordination/routing/server_health_checker.h"
#include "banyanknot/coordination/timer_service.h"

namespace banyanknot::coordination {

/// \brief How the removal of entries takes effect.
enum class RemovalMode {
  kImmediate,  ///< the server is removed at once
  kDeferred,   ///< after a grace period: its entry may have expired during
               ///< an outage of the source and be written again
  kAfterLoss,  ///< as kDeferred, also for domains taken out of service: the
               ///< source has lost its last changes, which are written again
};

/// \brief Applies published changes to the route and server directories.
///
/// Calls must come from one thread at a time; deferred removals run on timer
/// threads.
class RoutingIntake {
 public:
  using RoutesListener = std::function<void(const state::RouteTable&)>;

  RoutingIntake(const Clock& clock, TimerService& timers, RelayClient& client,
                RouteDirectory& routes, ServerDirectory& servers,
                ServerHealthChecker& checker, EventLog& log);

  /// \brief Sets the listener, called with each version that comes into force.
  void SetRoutesListener(RoutesListener listener);

  void Apply(const RoutingBatch& batch, RemovalMode mode);
  /// \brief Applies a complete snapshot; what is not in it is removed.
  void ApplyAll(const RoutingBatch& batch, RemovalMode mode);

 private:
  void ApplyOne(const RoutingChange& change, const RoutingBatch& batch,
                RemovalMode mode);
  void ApplyRoutes(const state::RouteTablePtr& table,
                   const RoutingBatch& batch);
  void ApplyDomain(const DomainStateChange& domain_change);
  /// \brief Returns a domain to service unless it is taken out again.
  void ReturnDomainLater(const state::FailureDomainId& domain);
  /// \brief Cancels a deferred return.
  void KeepDomain(const state::FailureDomainId& domain);
  void ApplyServer(const state::RegisteredServer& server);
  /// \brief Starts the health checks that a change has made possible.
  void CheckSuspects();
  /// \brief Cancels a deferred removal.
  void KeepServer(const state::InstanceId& id);
  void RemoveServer(const state::InstanceId& id, RemovalMode mode);
  void RemoveNow(const state::InstanceId& id);

  const Clock& clock;
  TimerService& timers;
  RelayClient& client;
  RouteDirectory& routes;
  ServerDirectory& servers;
  ServerHealthChecker& checker;
  EventLog& log;
  RoutesListener listener;
  std::mutex deferred_mutex;
  std::set<state::InstanceId> deferred_removals;  // unless they return
  std::map<state::FailureDomainId, state::TimePoint> deferred_returns;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_ROUTING_INTAKE_H_
