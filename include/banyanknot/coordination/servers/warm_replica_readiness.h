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

/// \brief Ready once this host may send work to a replica of every shard.
///
/// A host that just started knows of no warm server. Until peers or its own
/// trials tell it of some, it would have to refuse queries that another host
/// can answer. It waits for that no longer than a bound, since a shard may
/// have no warm server at all. Once ready it stays so.
///
/// Thread-safe.
class WarmReplicaReadiness : public Readiness {
 public:
  /// \param inner what must hold before, such as a catalogue in force
  /// \param bound longest wait for warm servers after `inner` holds
  WarmReplicaReadiness(const Clock& clock, const Readiness& inner,
                       const state::CatalogueTable& catalogue,
                       const state::ServerTable& servers, EventLog& log,
                       state::Duration bound);
  bool IsReady() const override;

 private:
  bool HasWarmReplicas() const;
  bool HasWarmReplica(const state::ShardEntry& shard) const;
  bool IsBoundPassed() const;
  void Latch(const std::string& reason) const;

  const Clock& clock;
  const Readiness& inner;
  const state::CatalogueTable& catalogue;
  const state::ServerTable& servers;
  EventLog& log;
  const state::Duration bound;
  mutable std::atomic<state::Duration::rep> inner_since{0};
  mutable std::atomic<bool> is_ready{false};
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_SERVERS_WARM_REPLICA_READINESS_H_
