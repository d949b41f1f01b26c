#ifndef BANYANKNOT_COORDINATION_ROUTING_ROUTING_INTAKE_H_
#define BANYANKNOT_COORDINATION_ROUTING_ROUTING_INTAKE_H_

#include <functional>
#include <set>
#include <vector>

#include "banyanknot/coordination/event_log.h"
#include "banyanknot/coordination/routing/route_directory.h"
#include "banyanknot/coordination/routing/routing_source.h"
#include "banyanknot/coordination/routing/server_directory.h"
#include "banyanknot/coordination/routing/server_health_checker.h"
#include "banyanknot/coordination/timer_service.h"

namespace banyanknot::coordination {

/// \brief Whether servers that vanish may only have lapsed for a moment.
enum class RemovalMode {
  kImmediate,  ///< a removal is the server's end
  kDeferred,   ///< the source was away: its entry may come back in a moment
};

/// \brief Applies what is published to the directories.
///
/// Called by one thread at a time.
class RoutingIntake {
 public:
  using RoutesListener = std::function<void(const state::RouteTable&)>;

  RoutingIntake(const Clock& clock, TimerService& timers, RelayClient& client,
                RouteDirectory& routes, ServerDirectory& servers,
                ServerHealthChecker& checker, EventLog& log);

  /// \brief Sets what is told of each version that comes into force.
  void SetRoutesListener(RoutesListener listener);

  void Apply(const RoutingBatch& batch, RemovalMode mode);
  /// \brief Applies a batch that holds everything: the rest is removed.
  void ApplyAll(const RoutingBatch& batch, RemovalMode mode);

 private:
  void ApplyOne(const RoutingChange& change, RemovalMode mode);
  void ApplyRoutes(const state::RouteTablePtr& table);
  void ApplyDomain(const DomainStateChange& change);
  void ApplyServer(const state::RegisteredServer& server);
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
  std::mutex removals_mutex;
  std::set<state::InstanceId>
      deferred_removals;  // removed unless they come back
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_ROUTING_INTAKE_H_
