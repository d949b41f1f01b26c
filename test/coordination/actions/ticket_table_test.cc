#include "banyanknot/coordination/actions/ticket_table.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "coordination/actions/action_world.h"

namespace banyanknot::coordination::action_test {
namespace {

constexpr std::uint64_t kOrigin = 77;

struct TableFixture {
  explicit TableFixture(TicketLimits limits = {})
      : random(1), table(state::HostId("h1"), kOrigin, time, random, limits) {}

  state::Ticket Issue() {
    return state::ValueOf(this->table.Issue(state::ServiceId("swipes"), kKey));
  }
  TicketClaim Claim(const state::Action& action, std::uint64_t number = 1) {
    return this->table.Claim(action, {state::HostId("h1"), number},
                             [this](const state::ActionReply& reply) {
                               this->replies.push_back(reply);
                             });
  }
  void Complete(const state::Ticket& ticket, const state::ActionReply& reply) {
    for (const ActionHandler& handler :
         this->table.Complete(ticket.id, reply)) {
      handler(reply);
    }
  }

  SimulatedTime time;
  SeededRandomSource random;
  TicketTable table;
  std::vector<state::ActionReply> replies;
};

TEST_CASE("Claims with an unusable ticket get the reason") {
  struct Row {
    const char* name;
    std::function<void(state::Action&)> change;
    state::Outcome outcome;
  };
  const std::vector<Row> rows = {
      {"another host",
       [](state::Action& action) { action.ticket.host = state::HostId("h2"); },
       state::Outcome::kUnknown},
      {"another incarnation",
       [](state::Action& action) { ++action.ticket.id.origin; },
       state::Outcome::kUnknown},
      {"never issued",
       [](state::Action& action) { action.ticket.id.sequence += 1; },
       state::Outcome::kInvalid},
      {"sequence 0",
       [](state::Action& action) { action.ticket.id.sequence = 0; },
       state::Outcome::kInvalid},
      {"forged", [](state::Action& action) { ++action.ticket.nonce; },
       state::Outcome::kInvalid},
      {"another service",
       [](state::Action& action) { action.service = state::ServiceId("x"); },
       state::Outcome::kInvalid},
      {"another key", [](state::Action& action) { ++action.key; },
       state::Outcome::kInvalid},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    TableFixture fixture;
    const state::Ticket ticket = fixture.Issue();
    state::Action action = ActionWith(ticket);
    row.change(action);
    const TicketClaim claim = fixture.Claim(action);
    CHECK(claim.kind == ClaimKind::kAnswered);
    CHECK(NameOf(claim.reply.outcome) == NameOf(row.outcome));
    // The rejected claim does not use up the valid ticket.
    CHECK(fixture.Claim(ActionWith(ticket)).kind == ClaimKind::kStarted);
  }
}

TEST_CASE("A ticket starts one run; every later claim gets its outcome") {
  TableFixture fixture;
  const state::Ticket ticket = fixture.Issue();
  CHECK(fixture.Claim(ActionWith(ticket), 1).kind == ClaimKind::kStarted);
  CHECK(fixture.Claim(ActionWith(ticket), 2).kind == ClaimKind::kJoined);
  CHECK(fixture.Claim(ActionWith(ticket), 2).kind == ClaimKind::kJoined);
  CHECK(fixture.replies.empty());
  fixture.Complete(ticket, {state::Outcome::kOk, "", {{kKey, "1"}}, {}});
  CHECK(fixture.replies.size() == 2);
  const TicketClaim later = fixture.Claim(ActionWith(ticket), 3);
  CHECK(later.kind == ClaimKind::kAnswered);
  CHECK(later.reply.outcome == state::Outcome::kOk);
  CHECK(later.reply.records.size() == 1);
}

TEST_CASE("Threads that claim one ticket at once start one run") {
  constexpr std::size_t kTickets = 200;
  constexpr std::uint64_t kThreads = 8;
  TicketLimits limits;
  limits.max_waiters = kThreads;
  TableFixture fixture(limits);
  std::vector<state::Ticket> tickets;
  for (std::size_t index = 0; index < kTickets; ++index) {
    tickets.push_back(fixture.Issue());
  }
  std::atomic<std::size_t> started{0};
  std::vector<std::thread> threads;
  for (std::uint64_t number = 0; number < kThreads; ++number) {
    threads.emplace_back([&, number] {
      for (const state::Ticket& ticket : tickets) {
        const TicketClaim claim = fixture.table.Claim(
            ActionWith(ticket), {state::HostId("h1"), number},
            [](const state::ActionReply&) {});
        if (claim.kind == ClaimKind::kStarted) ++started;
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  CHECK(started == kTickets);
}

TEST_CASE("Every outcome is final, not_run too") {
  for (const state::EnumName<state::Outcome>& row : state::kOutcomeNames) {
    INFO(row.name);
    TableFixture fixture;
    const state::Ticket ticket = fixture.Issue();
    fixture.Claim(ActionWith(ticket));
    fixture.Complete(ticket, {row.value, "", {}, {}});
    fixture.Complete(ticket, {state::Outcome::kOk, "second", {}, {}});
    const TicketClaim later = fixture.Claim(ActionWith(ticket), 2);
    CHECK(later.kind == ClaimKind::kAnswered);
    CHECK(later.reply.outcome == row.value);
  }
}

TEST_CASE("A used ticket rejects a different ask") {
  TableFixture fixture;
  const state::Ticket ticket = fixture.Issue();
  fixture.Claim(ActionWith(ticket, "1"));
  const TicketClaim while_running = fixture.Claim(ActionWith(ticket, "2"), 2);
  CHECK(while_running.reply.outcome == state::Outcome::kInvalid);
  fixture.Complete(ticket, {state::Outcome::kOk, "", {}, {}});
  const TicketClaim after = fixture.Claim(ActionWith(ticket, "2"), 3);
  CHECK(after.reply.outcome == state::Outcome::kInvalid);
}

TEST_CASE("A ticket that expired unused is answered with not_run") {
  TableFixture fixture;
  const state::Ticket ticket = fixture.Issue();
  fixture.time.RunFor(fixture.table.Limits().lifetime);
  fixture.table.RemoveExpired();
  const TicketClaim expired = fixture.Claim(ActionWith(ticket));
  CHECK(expired.kind == ClaimKind::kAnswered);
  CHECK(expired.reply.outcome == state::Outcome::kNotRun);
  fixture.time.RunFor(fixture.table.Limits().outcome_retention);
  fixture.table.RemoveExpired();
  CHECK(fixture.table.Size() == 0);
  const TicketClaim forgotten = fixture.Claim(ActionWith(ticket));
  CHECK(forgotten.kind == ClaimKind::kAnswered);
  CHECK(forgotten.reply.outcome == state::Outcome::kUnknown);
}

TEST_CASE("An outcome is kept for the retention time, then unknown") {
  TableFixture fixture;
  const state::Ticket ticket = fixture.Issue();
  fixture.Claim(ActionWith(ticket));
  fixture.time.RunFor(2 * fixture.table.Limits().outcome_retention);
  fixture.table.RemoveExpired();
  CHECK(fixture.table.Size() == 1);  // still running
  fixture.Complete(ticket, {state::Outcome::kOk, "", {}, {}});
  fixture.time.RunFor(fixture.table.Limits().outcome_retention -
                      state::Milliseconds(1));
  fixture.table.RemoveExpired();
  CHECK(fixture.Claim(ActionWith(ticket), 2).reply.outcome ==
        state::Outcome::kOk);
  fixture.time.RunFor(state::Milliseconds(1));
  fixture.table.RemoveExpired();
  CHECK(fixture.table.Size() == 0);
  CHECK(fixture.Claim(ActionWith(ticket), 3).reply.outcome ==
        state::Outcome::kUnknown);
}

TEST_CASE("A full table issues no ticket until one is removed") {
  TicketLimits limits;
  limits.max_tickets = 2;
  TableFixture fixture(limits);
  fixture.Issue();
  fixture.Issue();
  const state::Result<state::Ticket, state::StateError> refused =
      fixture.table.Issue(state::ServiceId("swipes"), kKey);
  REQUIRE(!state::IsOk(refused));
  CHECK(state::ErrorOf(refused) == state::StateError::kTableFull);
  CHECK(fixture.table.Size() == 2);
  fixture.time.RunFor(limits.lifetime + limits.outcome_retention);
  fixture.table.RemoveExpired();
  fixture.Issue();
}

TEST_CASE("Waiters beyond the limit get unknown") {
  TicketLimits limits;
  limits.max_waiters = 2;
  TableFixture fixture(limits);
  const state::Ticket ticket = fixture.Issue();
  CHECK(fixture.Claim(ActionWith(ticket), 1).kind == ClaimKind::kStarted);
  CHECK(fixture.Claim(ActionWith(ticket), 2).kind == ClaimKind::kJoined);
  const TicketClaim surplus = fixture.Claim(ActionWith(ticket), 3);
  CHECK(surplus.kind == ClaimKind::kAnswered);
  CHECK(surplus.reply.outcome == state::Outcome::kUnknown);
  CHECK(fixture.table.RemoveWaiter(ticket.id, {state::HostId("h1"), 1}));
  CHECK(!fixture.table.RemoveWaiter(ticket.id, {state::HostId("h1"), 1}));
  CHECK(fixture.Claim(ActionWith(ticket), 3).kind == ClaimKind::kJoined);
}

TEST_CASE("Records above the retention limit are returned once, not kept") {
  TicketLimits limits;
  limits.max_retained_bytes = 100;
  TableFixture fixture(limits);
  const state::Ticket ticket = fixture.Issue();
  fixture.Claim(ActionWith(ticket));
  fixture.Complete(ticket,
                   {state::Outcome::kOk, "", {{1, std::string(200, 'x')}}, {}});
  REQUIRE(fixture.replies.size() == 1);
  CHECK(fixture.replies[0].records.size() == 1);
  const TicketClaim later = fixture.Claim(ActionWith(ticket), 2);
  CHECK(later.reply.outcome == state::Outcome::kOk);
  CHECK(later.reply.records.empty());
}

}  // namespace
}  // namespace banyanknot::coordination::action_test
