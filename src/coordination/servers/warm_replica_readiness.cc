#include "banyanknot/coordination/servers/warm_replica_readiness.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

namespace banyanknot::coordination {

WarmReplicaReadiness::WarmReplicaReadiness(
    const Clock& clock, const Readiness& inner,
    const state::CatalogueTable& catalogue, const state::ServerTable& servers,
    EventLog& log, state::Duration timeout)
    : clock(clock),
      inner(inner),
      catalogue(catalogue),
      servers(servers),
      log(log),
      timeout(timeout) {}

bool WarmReplicaReadiness::IsReady() const {
  if (this->is_ready) return true;
  if (!this->inner.IsReady()) return false;
  if (this->HasWarmReplicas()) {
    this->SetReady("every shard has a warm replica");
  } else if (this->HasTimedOut()) {
    this->SetReady("timed out waiting for a warm replica of every shard");
  }
  return this->is_ready;
}

bool WarmReplicaReadiness::HasWarmReplicas() const {
  const std::vector<std::shared_ptr<const state::ServiceEntry>> services =
      this->catalogue.Services();
  return std::all_of(
      services.begin(), services.end(),
      [this](const std::shared_ptr<const state::ServiceEntry>& service) {
        return std::all_of(service->shards.begin(), service->shards.end(),
                           [this](const state::ShardEntry& shard) {
                             return this->HasWarmReplica(shard);
                           });
      });
}

bool WarmReplicaReadiness::HasWarmReplica(
    const state::ShardEntry& shard) const {
  return std::any_of(shard.replicas.begin(), shard.replicas.end(),
                     [this](const state::ServerId& server) {
                       const std::optional<state::ServerRecord> record =
                           this->servers.Find(server);
                       return record &&
                              record->phase == state::ServerPhase::kWarm;
                     });
}

bool WarmReplicaReadiness::HasTimedOut() const {
  const state::Duration::rep now = this->clock.Now().time_since_epoch().count();
  state::Duration::rep unset = 0;
  this->inner_ready_since.compare_exchange_strong(unset, now);
  return state::Duration(now - this->inner_ready_since) >= this->timeout;
}

void WarmReplicaReadiness::SetReady(const std::string& reason) const {
  if (this->is_ready.exchange(true)) return;
  this->log.Write(EventCode::kHostReady, {{"reason", reason}});
}

}  // namespace banyanknot::coordination
