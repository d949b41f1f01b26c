#include "banyanknot/coordination/catalogue_rules.h"

#include <set>
#include <string>
#include <unordered_set>
#include <utility>

namespace banyanknot::coordination {
namespace {

constexpr state::Duration kMaxLeaveGrace = state::Milliseconds(300'000);
constexpr state::Duration kMaxStopTimeout = state::Milliseconds(3'600'000);

/// Collects the faults of one entry.
class FaultList {
 public:
  void Require(bool condition, const std::string& pointer, const char* reason) {
    if (!condition) this->faults.push_back({pointer, reason});
  }
  std::vector<EntryFault> Take() { return std::move(this->faults); }

 private:
  std::vector<EntryFault> faults;
};

bool IsFraction(double value) { return value >= 0.0 && value <= 1.0; }

void CheckServer(const state::ServerEntry& server, const std::string& pointer,
                 FaultList& faults) {
  faults.Require(!server.id.IsEmpty(), pointer + "/id", "is empty");
  faults.Require(!server.domain.IsEmpty(), pointer + "/domain", "is empty");
  faults.Require(!server.endpoint.address.empty(), pointer + "/address",
                 "is empty");
  faults.Require(server.endpoint.port != 0, pointer + "/port", "is 0");
  faults.Require(server.slots > 0, pointer + "/slots", "must be at least 1");
  faults.Require(server.connections > 0, pointer + "/connections",
                 "must be at least 1");
  faults.Require(server.cold_slots > 0 && server.cold_slots <= server.slots,
                 pointer + "/cold_slots", "must be from 1 to slots");
  faults.Require(server.warm_up.count() >= 0, pointer + "/warm_up_ms",
                 "is negative");
}

void CheckServers(const state::ServiceEntry& service, FaultList& faults) {
  std::unordered_set<state::ServerId> ids;
  std::unordered_set<std::string> endpoints;
  for (std::size_t index = 0; index < service.servers.size(); ++index) {
    const state::ServerEntry& server = service.servers[index];
    const std::string pointer = "/servers/" + std::to_string(index);
    CheckServer(server, pointer, faults);
    faults.Require(ids.insert(server.id).second, pointer + "/id",
                   "is a duplicate");
    faults.Require(endpoints.insert(state::ToText(server.endpoint)).second,
                   pointer + "/port", "address and port are duplicates");
  }
}

void CheckReplicas(const state::ShardEntry& shard, const std::string& pointer,
                   const std::unordered_set<state::ServerId>& servers,
                   FaultList& faults) {
  faults.Require(!shard.replicas.empty(), pointer + "/replicas", "is empty");
  std::set<state::ServerId> seen;
  for (std::size_t index = 0; index < shard.replicas.size(); ++index) {
    const state::ServerId& replica = shard.replicas[index];
    const std::string item = pointer + "/replicas/" + std::to_string(index);
    faults.Require(servers.count(replica) > 0, item,
                   "is not a server of this service");
    faults.Require(seen.insert(replica).second, item, "is a duplicate");
  }
}

void CheckShards(const state::ServiceEntry& service, FaultList& faults) {
  std::unordered_set<state::ServerId> servers;
  for (const state::ServerEntry& server : service.servers) {
    servers.insert(server.id);
  }
  faults.Require(!service.shards.empty(), "/shards", "is empty");
  std::unordered_set<std::uint32_t> ids;
  for (std::size_t index = 0; index < service.shards.size(); ++index) {
    const state::ShardEntry& shard = service.shards[index];
    const std::string pointer = "/shards/" + std::to_string(index);
    faults.Require(!shard.range.IsEmpty(), pointer + "/end",
                   "range is empty or reversed");
    faults.Require(ids.insert(shard.id).second, pointer + "/id",
                   "is a duplicate");
    if (index > 0) {
      const state::KeyRange& previous = service.shards[index - 1].range;
      faults.Require(shard.range.begin >= previous.end, pointer + "/begin",
                     "overlaps the shard before it");
      faults.Require(shard.range.begin <= previous.end, pointer + "/begin",
                     "leaves a gap after the shard before it");
    }
    CheckReplicas(shard, pointer, servers, faults);
  }
}

void CheckLimits(const state::ServiceEntry& service, FaultList& faults) {
  const state::ServiceLimits& limits = service.limits;
  faults.Require(limits.max_in_flight > 0, "/limits/max_in_flight",
                 "must be at least 1");
  faults.Require(limits.default_deadline.count() > 0,
                 "/limits/default_deadline_ms", "must be at least 1");
  faults.Require(limits.default_deadline <= limits.max_deadline,
                 "/limits/default_deadline_ms", "is above max_deadline_ms");
  faults.Require(IsFraction(limits.min_coverage), "/limits/coverage_floor",
                 "must be from 0 to 1");
  faults.Require(service.service_class != state::ServiceClass::kWhole ||
                     limits.min_coverage >= 1.0,
                 "/limits/coverage_floor", "must be 1 for the class whole");
}

void Check(const state::ServiceEntry& service, FaultList& faults) {
  faults.Require(!service.id.IsEmpty(), "/id", "is empty");
  faults.Require(!service.owner.empty(), "/owner", "is empty");
  CheckLimits(service, faults);
  CheckServers(service, faults);
  CheckShards(service, faults);
}

void Check(const state::FailureDomainEntry& domain, FaultList& faults) {
  faults.Require(!domain.id.IsEmpty(), "/id", "is empty");
  faults.Require(!domain.owner.empty(), "/owner", "is empty");
}

void Check(const state::FleetPolicy& policy, FaultList& faults) {
  faults.Require(!policy.owner.empty(), "/owner", "is empty");
  faults.Require(policy.hedge_quantile > 0.0 && policy.hedge_quantile < 1.0,
                 "/hedge_quantile", "must be between 0 and 1");
  faults.Require(IsFraction(policy.hedge_budget), "/hedge_budget",
                 "must be from 0 to 1");
  faults.Require(IsFraction(policy.retry_budget), "/retry_budget",
                 "must be from 0 to 1");
  faults.Require(
      policy.leave_grace.count() >= 0 && policy.leave_grace <= kMaxLeaveGrace,
      "/leave_grace_ms", "must be from 0 to 300000");
  faults.Require(policy.stop_timeout > policy.leave_grace &&
                     policy.stop_timeout <= kMaxStopTimeout,
                 "/stop_bound_ms", "must be above leave_grace_ms");
}

}  // namespace

std::vector<EntryFault> CheckContent(const state::CatalogueContent& content) {
  FaultList faults;
  std::visit([&faults](const auto& entry) { Check(entry, faults); }, content);
  return faults.Take();
}

}  // namespace banyanknot::coordination
