#ifndef BANYANKNOT_COORDINATION_ACTIONS_ACTION_EXECUTOR_H_
#define BANYANKNOT_COORDINATION_ACTIONS_ACTION_EXECUTOR_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "banyanknot/coordination/actions/action_policy.h"
#include "banyanknot/coordination/actions/ticket_table.h"
#include "banyanknot/coordination/backend_client.h"
#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/replica_selector.h"
#include "banyanknot/coordination/server_gate.h"
#include "banyanknot/coordination/timer_service.h"
#include "banyanknot/state/catalogue_table.h"

namespace banyanknot::coordination {

/// \brief Maximum time from the deadline of a call to its reply.
inline constexpr state::Duration kActionReplyMargin = state::Milliseconds(50);

using TicketResult = state::Result<state::Ticket, state::ActionReply>;

/// \brief Runs actions whose tickets this host issued, each at most once.
///
/// Thread-safe. An action goes to one replica of the shard that holds its key,
/// is never hedged, and is retried at another replica only after a proven
/// refusal. It runs to its end even if the caller disconnects. \sa
/// ActionForwarder
class ActionExecutor {
 public:
  ActionExecutor(const Clock& clock, TimerService& timers,
                 BackendClient& backend, const state::CatalogueTable& catalogue,
                 ReplicaSelector& selector, ServerGate& gate,
                 const ActionPolicy& policy, TicketTable& tickets);

  /// \brief Starts the periodic removal of expired tickets.
  void Start();

  /// \returns a ticket for one action, or the reply that refuses it
  TicketResult IssueTicket(const state::ServiceId& service, std::uint64_t key);

  /// \brief Runs an action, or returns or waits for the outcome of its ticket.
  /// \param waiter identifies this call; a resent copy has the same id
  /// \param handler called at most once for each waiter, possibly before Run()
  ///     returns, at the latest soon after the deadline
  void Run(const state::Action& action, const WaiterId& waiter,
           const ActionHandler& handler);

  /// \brief Returns the number of actions without an outcome.
  std::size_t InFlight() const { return this->in_flight; }

 private:
  struct ActionRun;
  struct Attempt;

  void ScheduleSweep();
  void StartRun(const state::Action& action, state::TimePoint deadline);
  void TryNextReplica(const std::shared_ptr<ActionRun>& run);
  bool TrySend(const std::shared_ptr<ActionRun>& run,
               const state::ServerEntry& server);
  void OnResult(const std::shared_ptr<ActionRun>& run, Attempt& attempt,
                const BackendResult& result);
  void Complete(const ActionRun& run, const state::ActionReply& reply);
  void AnswerAtDeadline(const state::RequestId& id, const WaiterId& waiter,
                        state::TimePoint deadline);

  const Clock& clock;
  TimerService& timers;
  BackendClient& backend;
  const state::CatalogueTable& catalogue;
  ReplicaSelector& selector;
  ServerGate& gate;
  const ActionPolicy& policy;
  TicketTable& tickets;
  std::atomic<std::size_t> in_flight{0};
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ACTIONS_ACTION_EXECUTOR_H_
