#ifndef BANYANKNOT_COORDINATION_QUOTA_FLEET_QUOTA_GATE_H_
#define BANYANKNOT_COORDINATION_QUOTA_FLEET_QUOTA_GATE_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>

#include "banyanknot/coordination/event_log.h"
#include "banyanknot/coordination/quota/quota_accountant.h"
#include "banyanknot/coordination/quota/quota_gate.h"
#include "banyanknot/coordination/timer_service.h"

namespace banyanknot::coordination {

/// \brief Takes credit from the accounts of this failure domain, wherever they
/// are kept.
///
/// Requests of one workspace that come while one is being decided are asked for
/// together. A host that reaches no other keeps accounts itself, for its own
/// part of the domain's share. Thread-safe.
class FleetQuotaGate : public QuotaGate {
 public:
  FleetQuotaGate(const Clock& clock, TimerService& timers,
                 const RouteDirectory& routes, state::HostId own,
                 QuotaLink& link, AccountantDirectory& directory,
                 QuotaAccountant& accountant, EventLog& log);

  /// \brief Begins to tell the accountant regularly that this host asks there.
  void Start();

  void Acquire(const state::WorkspacePtr& workspace,
               QuotaHandler handler) override;
  void Refund(const state::WorkspaceId& workspace) override;

 private:
  struct Queue {
    std::deque<QuotaHandler> waiters;
    bool is_asking = false;
    unsigned refunds = 0;
    state::TimePoint refunded_at;
  };
  struct Ask;

  CreditRequest MakeRequest(state::TimePoint now) const;
  /// Returns the accountant; nothing for this host. Notes a change.
  std::optional<state::HostAdvert> Accountant(state::TimePoint now);
  void AskFor(const state::WorkspacePtr& workspace);
  void Send(const std::shared_ptr<Ask>& ask);
  void OnGrant(const std::shared_ptr<Ask>& ask, const CreditGrant& grant);
  void Announce();
  void OnAskedElsewhere(const CreditGrant& grant, state::TimePoint now);

  const Clock& clock;
  TimerService& timers;
  const RouteDirectory& routes;
  const state::HostId own;
  QuotaLink& link;
  AccountantDirectory& directory;
  QuotaAccountant& accountant;
  EventLog& log;
  bool has_begun = false;  // with the first quota; used by Announce() only
  std::mutex accountant_mutex;
  std::optional<state::HostId> asked_accountant;  // guarded by the mutex
  state::ShardedTable<state::WorkspaceId, Queue> queues;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_QUOTA_FLEET_QUOTA_GATE_H_
