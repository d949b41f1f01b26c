#ifndef BANYANKNOT_COORDINATION_ACTIONS_ACTION_FORWARDER_H_
#define BANYANKNOT_COORDINATION_ACTIONS_ACTION_FORWARDER_H_

#include <atomic>
#include <cstddef>
#include <cstdint>

#include "banyanknot/coordination/actions/action_executor.h"
#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/peer_link.h"
#include "banyanknot/coordination/timer_service.h"
#include "banyanknot/state/catalogue_table.h"
#include "banyanknot/state/host_record.h"
#include "banyanknot/state/sharded_table.h"

namespace banyanknot::coordination {

/// \brief Forwards actions to the host that issued their tickets.
///
/// Thread-safe. Resends over the lossy link until a result arrives or the
/// deadline passes; the ticket deduplicates resent copies. It never decides
/// `not_run` itself, as a copy that it sent may arrive late.
class ActionForwarder : public PeerHandler {
 public:
  ActionForwarder(const state::HostIdentity& identity, const Clock& clock,
                  TimerService& timers, PeerLink& link,
                  const state::HostTable& hosts,
                  const state::CatalogueTable& catalogue,
                  ActionExecutor& executor);

  /// \brief Runs an action locally or at the host of its ticket.
  /// \param handler called exactly once, possibly before Run() returns, at the
  ///     latest soon after the deadline
  void Run(const state::Action& action, ActionHandler handler);

  /// \brief Handles forwarded actions and results of actions sent from here.
  void OnPeerMessage(const PeerEnvelope& envelope) override;

  /// \brief Returns the number of actions that wait for another host's result.
  std::size_t Pending() const { return this->calls.Size(); }

 private:
  struct Call {
    state::Action action;
    state::Endpoint endpoint;
    state::TimePoint deadline;
    ActionHandler handler;
  };

  void Forward(const state::Action& action, ActionHandler handler);
  state::Duration TimeoutFor(const state::Action& action) const;
  void SendCall(std::uint64_t number, state::Duration resend_delay);
  void OnAction(const state::HostId& from, const PeerAction& message);
  void OnResult(const state::HostId& from, const PeerActionResult& message);

  const state::HostIdentity identity;
  const Clock& clock;
  TimerService& timers;
  PeerLink& link;
  const state::HostTable& hosts;
  const state::CatalogueTable& catalogue;
  ActionExecutor& executor;
  std::atomic<std::uint64_t> next_number;
  state::ShardedTable<std::uint64_t, Call> calls;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ACTIONS_ACTION_FORWARDER_H_
