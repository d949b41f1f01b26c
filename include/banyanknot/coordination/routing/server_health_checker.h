#ifndef BANYANKNOT_COORDINATION_ROUTING_SERVER_HEALTH_CHECKER_H_
#define BANYANKNOT_COORDINATION_ROUTING_SERVER_HEALTH_CHECKER_H_

#include <optional>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/event_log.h"
#include "banyanknot/coordination/routing/relay_client.h"
#include "banyanknot/coordination/routing/route_directory.h"
#include "banyanknot/coordination/routing/tracked_server.h"
#include "banyanknot/coordination/timer_service.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Active health checks of suspected servers, repeated with backoff
/// until one succeeds.
///
/// Servers that are not suspected are judged by their replies alone. A server
/// whose service no route table names yet can't be checked; Check() must be
/// called again with the table that does. Thread-safe.
class ServerHealthChecker {
 public:
  ServerHealthChecker(const Clock& clock, TimerService& timers,
                      RelayClient& client, const RouteDirectory& routes,
                      EventLog& log);

  /// \brief Checks a server until it is cleared or removed; does nothing if it
  /// is being checked already.
  void Check(const TrackedServerPtr& server);

 private:
  /// Returns nothing if the server needs no check or can't be checked now.
  std::optional<HealthCheck> MakeCheck(const TrackedServerPtr& server) const;
  void SendCheck(const TrackedServerPtr& server);
  void EndCheck(const TrackedServerPtr& server);
  void OnHealth(const TrackedServerPtr& server,
                const std::optional<ServerHealth>& health);
  void ScheduleCheck(const TrackedServerPtr& server);

  const Clock& clock;
  TimerService& timers;
  RelayClient& client;
  const RouteDirectory& routes;
  EventLog& log;
  state::ShardedTable<const TrackedServer*, bool> under_check;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_SERVER_HEALTH_CHECKER_H_
