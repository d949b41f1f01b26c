#ifndef BANYANKNOT_COORDINATION_SERVERS_WARM_REPLICA_READINESS_H_
#define BANYANKNOT_COORDINATION_SERVERS_WARM_REPLICA_READINESS_H_

#include <atomic>
#include <string>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/event_log.h"
#include "banyanknot/coordination/readiness.h"
#include "banyanknot/state/catalogue_table.h"
#include "banyanknot/state/server_record.h"

namespace banyanknot::coordination {

/// \brief Reports ready once every shard has a warm replica.
///
/// A host that just started knows of no warm server and would refuse queries
/// that another host can answer, until state transfer or its own slow-start
/// probes find some. A timeout limits the wait, since a shard may have no warm
/// server at all. Once ready, it stays ready.
///
/// Thread-safe.
class WarmReplicaReadiness : public Readiness {
 public:
  /// \param inner precondition, such as an applied catalogue
  /// \param timeout limit on the wait for warm replicas once `inner` is ready
  WarmReplicaReadiness(const Clock& clock, const Readiness& inner,
                       const state::CatalogueTable& catalogue,
                       const state::ServerTable& servers, EventLog& log,
                       state::Duration timeout);
  bool IsReady() const override;

 private:
  bool HasWarmReplicas() const;
  bool HasWarmReplica(const state::ShardEntry& shard) const;
  bool HasTimedOut() const;
  void SetReady(const std::string& reason) const;

  const Clock& clock;
  const Readiness& inner;
  const state::CatalogueTable& catalogue;
  const state::ServerTable& servers;
  EventLog& log;
  const state::Duration timeout;
  mutable std::atomic<state::Duration::rep> inner_ready_since{0};
  mutable std::atomic<bool> is_ready{false};
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_WARM_REPLICA_READINESS_H_
