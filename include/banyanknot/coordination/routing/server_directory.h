#ifndef BANYANKNOT_COORDINATION_ROUTING_SERVER_DIRECTORY_H_
#define BANYANKNOT_COORDINATION_ROUTING_SERVER_DIRECTORY_H_

#include <memory>
#include <mutex>
#include <set>
#include <unordered_set>
#include <vector>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/routing/server_picker.h"
#include "banyanknot/state/routing/route_table.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief What a host has lately seen of servers in other failure domains.
struct ReachabilityCounts {
  std::size_t replied = 0;      ///< answered something of late
  std::size_t unreachable = 0;  ///< could not be reached
};

/// \brief All known servers, by service and by id.
///
/// Thread-safe: tables in shards; each server has a lock of its own.
class ServerDirectory : public ServerPicker {
 public:
  ServerDirectory(const Clock& clock, state::FailureDomainId own_domain);

  /// \brief Adds a server, or takes up what it newly says of itself.
  /// \returns a server that this one replaces, now forgotten; may be null
  TrackedServerPtr Put(const state::RegisteredServer& record);
  /// \returns the forgotten server; null if there was none
  TrackedServerPtr Remove(const state::InstanceId& id);
  std::vector<state::InstanceId> Ids() const;

  /// \brief Takes a failure domain out, or puts it back with doubts about
  /// each of its servers.
  /// \returns its servers
  std::vector<TrackedServerPtr> SetDomainOut(
      const state::FailureDomainId& domain, bool is_out);
  std::vector<state::FailureDomainId> DomainsOut() const;

  /// \brief Takes up connection limits of a new version.
  void ApplyServices(const state::RouteTable& table);

  TrackedServerPtr Pick(const state::ServiceId& service,
                        const std::vector<state::InstanceId>& tried,
                        state::TimePoint now) override;
  bool HasUsableServer(const state::ServiceId& service,
                       const std::vector<state::InstanceId>& tried,
                       state::TimePoint now) const override;
  state::Duration TypicalReplyTime(const state::ServiceId& service,
                                   state::TimePoint now) const override;
  bool HasCapacity(const state::ServiceId& service,
                   const std::vector<state::InstanceId>& tried,
                   state::TimePoint now) const override;
  /// \brief Counts servers of other failure domains; those that nothing was
  /// sent to of late say nothing.
  /// \param since what is older is not of late
  ReachabilityCounts CountReachability(state::TimePoint since) const;
  bool IsEmpty() const { return this->by_id.Size() == 0; }

 private:
  using Pool = std::shared_ptr<const std::vector<TrackedServerPtr>>;

  std::vector<TrackedServerPtr> All() const;
  void AddToPool(const TrackedServerPtr& server);
  void RemoveFromPool(const TrackedServerPtr& server);
  Pool PoolOf(const state::ServiceId& service) const;
  std::size_t ConnectionLimitOf(const state::ServiceId& service) const;

  const Clock& clock;
  const state::FailureDomainId own_domain;
  state::ShardedTable<state::InstanceId, TrackedServerPtr> by_id;
  state::ShardedTable<state::ServiceId, Pool> by_service;
  state::ShardedTable<state::ServiceId, std::size_t> connection_limits;
  mutable std::mutex domains_mutex;
  std::set<state::FailureDomainId> domains_out;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_SERVER_DIRECTORY_H_
