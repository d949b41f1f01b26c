#include "banyanknot/coordination/actions/ticket_table.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace banyanknot::coordination {
namespace {

constexpr state::Duration kRetryAfter = state::Milliseconds(1'000);

std::uint64_t HashOf(const std::string& text) {
  return XXH3_64bits(text.data(), text.size());
}

TicketClaim Answered(state::Outcome outcome, const char* reason) {
  return {ClaimKind::kAnswered, {outcome, reason, {}, {}}};
}

/// Drops the records if they exceed the retention limit.
state::ActionReply TrimmedForRetention(const state::ActionReply& reply,
                                       std::size_t max_bytes) {
  std::size_t bytes = 0;
  for (const state::Record& record : reply.records) {
    bytes += sizeof(record) + record.value.size();
  }
  if (bytes <= max_bytes) return reply;
  state::ActionReply shortened;
  shortened.outcome = reply.outcome;
  shortened.reason = "its records were too long to be remembered";
  return shortened;
}

}  // namespace

TicketTable::TicketTable(state::HostId self, std::uint64_t origin,
                         const Clock& clock, RandomSource& random,
                         TicketLimits limits)
    : self(std::move(self)),
      origin(origin),
      clock(clock),
      random(random),
      limits(limits) {}

state::Result<state::Ticket, state::StateError> TicketTable::Issue(
    const state::ServiceId& service, std::uint64_t key) {
  if (this->size.fetch_add(1) >= this->limits.max_tickets) {
    this->size.fetch_sub(1);
    return state::StateError::kTableFull;
  }
  state::Ticket ticket;
  ticket.host = this->self;
  ticket.id = {this->origin, this->next_sequence.fetch_add(1)};
  ticket.nonce = this->random.Below(std::numeric_limits<std::uint64_t>::max());
  Record record;
  record.nonce = ticket.nonce;
  record.service = service;
  record.key = key;
  record.expires_at = this->clock.Now() + this->limits.lifetime;
  this->records.Insert(ticket.id, std::move(record));
  return ticket;
}

TicketClaim TicketTable::Claim(const state::Action& action,
                               const WaiterId& waiter, ActionHandler handler) {
  const state::Ticket& ticket = action.ticket;
  if (ticket.host != this->self || ticket.id.origin != this->origin) {
    return Answered(state::Outcome::kUnknown,
                    "the incarnation that issued the ticket is gone");
  }
  if (ticket.id.sequence == 0 ||
      ticket.id.sequence >= this->next_sequence.load()) {
    return Answered(state::Outcome::kInvalid, "the ticket was never issued");
  }
  TicketClaim claim = Answered(state::Outcome::kUnknown,
                               "the ticket's outcome is not remembered");
  const ClaimRequest request{action, HashOf(action.ask), waiter,
                             this->clock.Now()};
  this->records.UpdateIfPresent(ticket.id, [&](Record& record) {
    claim = this->ClaimRecord(record, request, handler);
  });
  return claim;
}

TicketClaim TicketTable::ClaimRecord(Record& record,
                                     const ClaimRequest& request,
                                     ActionHandler& handler) const {
  const state::Action& action = request.action;
  if (record.nonce != action.ticket.nonce) {
    return Answered(state::Outcome::kInvalid, "the ticket is forged");
  }
  if (record.service != action.service || record.key != action.key) {
    return Answered(state::Outcome::kInvalid,
                    "the ticket is for another service or key");
  }
  if (record.ticket_state == state::TicketState::kIssued) {
    if (request.now >= record.expires_at) {
      return Answered(state::Outcome::kNotRun, "the ticket expired unused");
    }
    record.ticket_state = state::TicketState::kRunning;
    record.ask_hash = request.hash;
    record.waiters.push_back({request.waiter, std::move(handler)});
    return {ClaimKind::kStarted, {}};
  }
  if (record.ask_hash != request.hash) {
    return Answered(state::Outcome::kInvalid,
                    "the ticket was used for another ask");
  }
  if (record.ticket_state == state::TicketState::kDone) {
    return {ClaimKind::kAnswered, record.reply};
  }
  return this->AddWaiter(record, request.waiter, handler);
}

TicketClaim TicketTable::AddWaiter(Record& record, const WaiterId& waiter,
                                   ActionHandler& handler) const {
  for (Waiter& waiting : record.waiters) {
    if (waiting.id == waiter) return {ClaimKind::kJoined, {}};
  }
  if (record.waiters.size() >= this->limits.max_waiters) {
    TicketClaim claim =
        Answered(state::Outcome::kUnknown, "it runs, and too many wait for it");
    claim.reply.retry_after = kRetryAfter;
    return claim;
  }
  record.waiters.push_back({waiter, std::move(handler)});
  return {ClaimKind::kJoined, {}};
}

std::vector<ActionHandler> TicketTable::Complete(
    const state::RequestId& id, const state::ActionReply& reply) {
  std::vector<Waiter> waiters;
  state::ActionReply retained =
      TrimmedForRetention(reply, this->limits.max_retained_bytes);
  const state::TimePoint expires_at =
      this->clock.Now() + this->limits.outcome_retention;
  this->records.UpdateIfPresent(id, [&](Record& record) {
    if (record.ticket_state != state::TicketState::kRunning) return;
    record.ticket_state = state::TicketState::kDone;
    record.reply = std::move(retained);
    record.expires_at = expires_at;
    waiters.swap(record.waiters);
  });
  std::vector<ActionHandler> handlers;
  handlers.reserve(waiters.size());
  for (Waiter& waiter : waiters) {
    handlers.push_back(std::move(waiter.handler));
  }
  return handlers;
}

ActionHandler TicketTable::RemoveWaiter(const state::RequestId& id,
                                        const WaiterId& waiter) {
  ActionHandler handler;
  this->records.UpdateIfPresent(id, [&](Record& record) {
    const auto found = std::find_if(
        record.waiters.begin(), record.waiters.end(),
        [&waiter](const Waiter& waiting) { return waiting.id == waiter; });
    if (found == record.waiters.end()) return;
    handler = std::move(found->handler);
    record.waiters.erase(found);
  });
  return handler;
}

void TicketTable::RemoveExpired() {
  const state::TimePoint now = this->clock.Now();
  const std::size_t removed = this->records.RemoveIf(
      [this, now](const state::RequestId& /*id*/, const Record& record) {
        return this->IsRemovable(record, now);
      });
  this->size.fetch_sub(removed);
}

bool TicketTable::IsRemovable(const Record& record,
                              state::TimePoint now) const {
  switch (record.ticket_state) {
    case state::TicketState::kIssued:
      // Kept past its lifetime to answer late calls with not_run.
      return now >= record.expires_at + this->limits.outcome_retention;
    case state::TicketState::kRunning:
      return false;
    case state::TicketState::kDone:
      return now >= record.expires_at;
  }
  return false;
}

}  // namespace banyanknot::coordination
