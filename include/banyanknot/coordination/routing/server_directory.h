#ifndef BANYANKNOT_COORDINATION_ROUTING_SERVER_DIRECTORY_H_
#define BANYANKNOT_COORDINATION_ROUTING_SERVER_DIRECTORY_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <unordered_set>
#include <vector>

#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/routing/departed_servers.h"
#include "banyanknot/coordination/routing/server_choice.h"
#include "banyanknot/coordination/routing/server_picker.h"
#include "banyanknot/state/routing/route_table.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Recent reachability of the servers in other failure domains.
struct ReachabilityCounts {
  std::size_t replied = 0;      ///< replied recently
  std::size_t unreachable = 0;  ///< could not be reached
};

/// \brief Servers chosen for requests since the start.
struct ServerChoiceCounts {
  std::uint64_t own_domain = 0;
  std::uint64_t other_domain = 0;
};

/// \brief All known servers, by service and by id.
///
/// Thread-safe: the tables are sharded and each server has its own lock.
class ServerDirectory : public ServerPicker {
 public:
  /// \brief Chooses servers by least cost.
  ServerDirectory(const Clock& clock, state::FailureDomainId own_domain);
  ServerDirectory(const Clock& clock, state::FailureDomainId own_domain,
                  const ServerChoice& choice);

  /// \brief Adds a server or applies a newer record of a known one.
  /// \returns the removed server that this one replaces; null if there is none
  TrackedServerPtr Put(const state::RegisteredServer& record);
  /// \returns the removed server; null if it is unknown
  TrackedServerPtr Remove(const state::InstanceId& id);
  std::vector<state::InstanceId> Ids() const;

  /// \brief Takes a failure domain out of service, or puts it back with each
  /// of its servers under suspicion.
  /// \returns the number of its servers; 0 if nothing changed
  std::size_t SetDomainOut(const state::FailureDomainId& domain, bool is_out);
  /// \brief Returns the servers that only a health check puts back into use.
  std::vector<TrackedServerPtr> Suspects() const;
  std::vector<state::FailureDomainId> DomainsOut() const;

  /// \brief Applies the connection limits of a new route table.
  void ApplyServices(const state::RouteTable& table);

  TrackedServerPtr Pick(const state::ServiceId& service,
                        const std::vector<state::InstanceId>& tried,
                        state::TimePoint now) override;
  bool HasUsableServer(const state::ServiceId& service,
                       const std::vector<state::InstanceId>& tried,
                       state::TimePoint now) const override;
  std::optional<state::TimePoint> BackOffEnd(
      const state::ServiceId& service,
      const std::vector<state::InstanceId>& tried,
      state::TimePoint now) const override;
  state::Duration TypicalReplyTime(const state::ServiceId& service,
                                   state::TimePoint now) const override;
  bool HasCapacity(const state::ServiceId& service,
                   const std::vector<state::InstanceId>& tried,
                   state::TimePoint now) const override;
  /// \brief Counts reachable and unreachable servers of other failure domains;
  /// servers without recent requests count as neither.
  /// \param since start of the period that counts as recent
  ReachabilityCounts CountReachability(state::TimePoint since) const;
  ServerChoiceCounts CountChoices() const;
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
  const ServerChoice& choice;
  state::ShardedTable<state::InstanceId, TrackedServerPtr> by_id;
  state::ShardedTable<state::ServiceId, Pool> by_service;
  state::ShardedTable<state::ServiceId, std::size_t> connection_limits;
  DepartedServers departed;
  mutable std::mutex domains_mutex;
  std::set<state::FailureDomainId> domains_out;
  std::atomic<std::uint64_t> own_domain_choices{0};
  std::atomic<std::uint64_t> other_domain_choices{0};
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ROUTING_SERVER_DIRECTORY_H_
