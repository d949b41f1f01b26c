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

/// \brief Names one ask, so that a repeat of it does not wait twice.
struct WaiterId {
  state::HostId host;        ///< the host that was asked
  std::uint64_t number = 0;  ///< its number for the ask

  friend bool operator==(const WaiterId& left, const WaiterId& right) {
    return left.number == right.number && left.host == right.host;
  }
};

/// \brief Bounds of a TicketTable.
struct TicketLimits {
  std::size_t max_tickets = 32'768;                         ///< in any state
  state::Duration lifetime = state::Milliseconds(120'000);  ///< until first use
  state::Duration outcome_retention =
      state::Milliseconds(600'000);       ///< of an outcome
  std::size_t max_waiters = 32;           ///< asks that wait for one outcome
  std::size_t max_retained_bytes = 4096;  ///< of records, for one ticket
};

/// \brief The tickets that this incarnation of the host issued.
///
/// Thread-safe. Each ticket is claimed for running at most once, whatever is
/// asked, how often and in which order. Nothing of it outlives the process: a
/// later incarnation draws another origin and knows none of these tickets.
class TicketTable {
 public:
  /// \param origin drawn at random for this incarnation, for tickets alone
  TicketTable(state::HostId self, std::uint64_t origin, const Clock& clock,
              RandomSource& random, TicketLimits limits);

  /// \returns a ticket; kTableFull if no more can be remembered
  state::Result<state::Ticket, state::StateError> Issue(
      const state::ServiceId& service, std::uint64_t key);

  /// \brief Claims the ticket of `action` for one run.
  /// \param handler kept for Complete() or RemoveWaiter() unless kAnswered
  TicketClaim Claim(const state::Action& action, const WaiterId& waiter,
                    ActionHandler handler);

  /// \brief Keeps the final outcome of a ticket that was claimed.
  /// \returns the handlers of all that wait for it
  std::vector<ActionHandler> Complete(const state::RequestId& id,
                                      const state::ActionReply& reply);

  /// \brief Takes one waiting ask out, because its time is up.
  /// \returns its handler; null if it does not wait any more
  ActionHandler RemoveWaiter(const state::RequestId& id,
                             const WaiterId& waiter);

  /// \brief Forgets tickets that are past their time; never a running one.
  void RemoveExpired();

  /// \brief Number of tickets in any state.
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
    std::uint64_t ask_hash = 0;  // of the ask that was claimed
    state::TimePoint expires_at;
    state::ActionReply reply;
    std::vector<Waiter> waiters;
  };

  /// One ask with a ticket, as Claim() hands it to the ticket's record.
  struct Ask {
    const state::Action& action;
    std::uint64_t hash;
    const WaiterId& waiter;
    state::TimePoint now;
  };

  TicketClaim ClaimRecord(Record& record, const Ask& ask,
                          ActionHandler& handler) const;
  TicketClaim Join(Record& record, const WaiterId& waiter,
                   ActionHandler& handler) const;
  bool IsForgettable(const Record& record, state::TimePoint now) const;

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
