#ifndef BANYANKNOT_COORDINATION_ROUTING_REACHABILITY_READINESS_H_
#define BANYANKNOT_COORDINATION_ROUTING_REACHABILITY_READINESS_H_

#include <mutex>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/event_log.h"
#include "banyanknot/coordination/readiness.h"
#include "banyanknot/coordination/routing/route_directory.h"
#include "banyanknot/coordination/routing/server_directory.h"

namespace banyanknot::coordination {

/// \brief Ready once there are routes and servers, and while the host can reach
/// other failure domains.
///
/// Handles a network partition that cuts a host's failure domain off from the
/// others while callers still reach it: the load balancer then sends them to
/// hosts that can serve them. A host that can't reach most servers of most
/// other domains considers itself cut off; the failure of a single domain or
/// service makes no host unready. Thread-safe.
class ReachabilityReadiness : public Readiness {
 public:
  ReachabilityReadiness(const Clock& clock, const RouteDirectory& routes,
                        const ServerDirectory& servers, EventLog& log);
  bool IsReady() const override;

 private:
  bool IsCutOff() const;

  const Clock& clock;
  const RouteDirectory& routes;
  const ServerDirectory& servers;
  EventLog& log;
  mutable std::mutex mutex;
  mutable bool was_cut_off = false;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_REACHABILITY_READINESS_H_
