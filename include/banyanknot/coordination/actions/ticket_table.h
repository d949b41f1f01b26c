#ifndef BANYANKNOT_COORDINATION_ACTIONS_TICKET_TABLE_H_
#define BANYANKNOT_COORDINATION_ACTIONS_TICKET_TABLE_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "banyanknot/coordination/actions/ticket_claim.h"
#include "banyanknot/coordination/clock.h"
#include "banyanknot/coordination/random_source.h"
#include "banyanknot/state/action.h"
#include "banyanknot/state/result.h"
#include "banyanknot/state/sharded_table.h"
#include "banyanknot/state/state_error.h"
#include "banyanknot/state/ticket_state.h"

namespace banyanknot::coordination {

using ActionHandler = std::function<void(state::ActionReply)>;

/// \brief Identifies one call, so that a resent copy does not wait twice.
struct WaiterId {
  state::HostId host;        ///< the host that received the call
  std::uint64_t number = 0;  ///< call number of that host

  friend bool operator==(const WaiterId& left, const WaiterId& right) {
    return left.number == right.number && left.host == right.host;
  }
};

/// \brief Limits of a TicketTable.
struct TicketLimits {
  std::size_t max_tickets = 32'768;                         ///< in any state
  state::Duration lifetime = state::Milliseconds(120'000);  ///< until first use
  state::Duration outcome_retention =
      state::Milliseconds(600'000);       ///< of an outcome
  std::size_t max_waiters = 32;           ///< per ticket
  std::size_t max_retained_bytes = 4096;  ///< of records, for one ticket
};

/// \brief Tickets that this incarnation of the host issued.
///
/// Thread-safe. Each ticket starts at most one run, whatever the number and
/// order of calls. Kept in memory only: a later incarnation has another origin
/// and knows none of these tickets.
class TicketTable {
 public:
  /// \param origin random, unique to this incarnation and to tickets
  TicketTable(state::HostId self, std::uint64_t origin, const Clock& clock,
              RandomSource& random, TicketLimits limits);

  /// \returns a ticket; kTableFull at max_tickets
  state::Result<state::Ticket, state::StateError> Issue(
      const state::ServiceId& service, std::uint64_t key);

  /// \brief Claims the ticket of `action` for one run.
  /// \param handler kept for Complete() or RemoveWaiter() unless kAnswered
  TicketClaim Claim(const state::Action& action, const WaiterId& waiter,
                    ActionHandler handler);

  /// \brief Stores the final outcome of a running ticket.
  /// \returns the handlers of its waiters; empty if it is not running
  std::vector<ActionHandler> Complete(const state::RequestId& id,
                                      const state::ActionReply& reply);

  /// \brief Removes one waiter whose deadline has passed.
  /// \returns its handler; null if it no longer waits
  ActionHandler RemoveWaiter(const state::RequestId& id,
                             const WaiterId& waiter);

  /// \brief Removes expired tickets; never a running one.
  void RemoveExpired();

  /// \brief Returns the number of tickets in any state.
  std::size_t Size() const { return this->size; }

  const TicketLimits& Limits() const { return this->limits; }

 private:
  struct Waiter {
    WaiterId id;
    ActionHandler handler;
  };

  struct Record {
    std::uint64_t nonce = 0;
    state::ServiceId service;
    std::uint64_t key = 0;
    state::TicketState ticket_state = state::TicketState::kIssued;
    std::uint64_t ask_hash = 0;  // of Action::ask in the first claim
    state::TimePoint expires_at;
    state::ActionReply reply;
    std::vector<Waiter> waiters;
  };

  /// Arguments of Claim() for the ticket's record.
  struct ClaimRequest {
    const state::Action& action;
    std::uint64_t hash;
    const WaiterId& waiter;
    state::TimePoint now;
  };

  TicketClaim ClaimRecord(Record& record, const ClaimRequest& request,
                          ActionHandler& handler) const;
  TicketClaim AddWaiter(Record& record, const WaiterId& waiter,
                        ActionHandler& handler) const;
  bool IsRemovable(const Record& record, state::TimePoint now) const;

  const state::HostId self;
  const std::uint64_t origin;
  const Clock& clock;
  RandomSource& random;
  const TicketLimits limits;
  std::atomic<std::uint64_t> next_sequence{1};
  std::atomic<std::size_t> size{0};
  state::ShardedTable<state::RequestId, Record> records;
};

}  // namespace banyanknot::coordination

#endif  // BANYANKNOT_COORDINATION_ACTIONS_TICKET_TABLE_H_
