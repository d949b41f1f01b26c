#include "banyanknot/coordination/actions/action_executor.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "coordination/actions/action_world.h"

namespace banyanknot::coordination::action_test {
namespace {

// Outcome of the first attempt; further attempts succeed.
struct FaultRow {
  const char* name;
  AttemptOutcome first;
  state::Outcome outcome;
  std::size_t sent;
};

AttemptOutcome Failing(bool runs, BackendFailure failure) {
  AttemptOutcome attempt_outcome;
  attempt_outcome.runs = runs;
  attempt_outcome.failure = failure;
  return attempt_outcome;
}

AttemptOutcome Replying(bool runs, state::ReplyStatus status) {
  AttemptOutcome attempt_outcome;
  attempt_outcome.runs = runs;
  attempt_outcome.status = status;
  return attempt_outcome;
}

AttemptOutcome Mismatched(state::ReplyStatus status) {
  AttemptOutcome attempt_outcome = Replying(true, status);
  attempt_outcome.is_mismatched = true;
  return attempt_outcome;
}

const std::vector<FaultRow>& FaultRows() {
  using Failure = BackendFailure;
  using Status = state::ReplyStatus;
  using Outcome = state::Outcome;
  static const std::vector<FaultRow>* const kRows = new std::vector<FaultRow>{
      {"none", Replying(true, Status::kOk), Outcome::kOk, 1},
      {"rejected by the server", Replying(true, Status::kFailed),
       Outcome::kFailed, 1},
      {"reset after the write, ran", Failing(true, Failure::kLost),
       Outcome::kUnknown, 1},
      {"reset after the write, did not run", Failing(false, Failure::kLost),
       Outcome::kUnknown, 1},
      {"silent connection, ran", Failing(true, Failure::kTimeout),
       Outcome::kUnknown, 1},
      {"silent connection, did not run", Failing(false, Failure::kTimeout),
       Outcome::kUnknown, 1},
      {"reply can't be read", Failing(true, Failure::kBadReply),
       Outcome::kUnknown, 1},
      {"cancelled in flight", Failing(true, Failure::kCancelled),
       Outcome::kUnknown, 1},
      {"server exceeded the deadline", Replying(true, Status::kDeadline),
       Outcome::kUnknown, 1},
      {"server was told to stop", Replying(true, Status::kCancelled),
       Outcome::kUnknown, 1},
      {"crossed reply says ok", Mismatched(Status::kOk), Outcome::kUnknown, 1},
      {"crossed reply says shed", Mismatched(Status::kShed), Outcome::kUnknown,
       1},
      {"connection refused", Failing(false, Failure::kNotSent), Outcome::kOk,
       2},
      {"connection limit", Failing(false, Failure::kConnectionLimit),
       Outcome::kOk, 2},
      {"pause between decision and write", Failing(false, Failure::kExpired),
       Outcome::kOk, 2},
      {"shed", Replying(false, Status::kShed), Outcome::kOk, 2},
      {"draining", Replying(false, Status::kDraining), Outcome::kOk, 2},
      {"snapshot missing", Replying(false, Status::kSnapshotMissing),
       Outcome::kOk, 2},
      {"wrong shard", Replying(false, Status::kWrongShard), Outcome::kOk, 2},
  };
  return *kRows;
}

// Scripts the first attempt by the row; all later ones succeed.
void SetFirstOutcome(SimulatedFleet& fleet, const FaultRow& row) {
  fleet.servers.outcome_source = [&row](const state::SubRequest& request) {
    return request.attempt == 1 ? row.first : AttemptOutcome{};
  };
}

TEST_CASE("An action runs at most once whatever its attempt ends in") {
  for (const FaultRow& row : FaultRows()) {
    INFO(row.name);
    SimulatedFleet fleet;
    SetFirstOutcome(fleet, row);
    AtMostOncePolicy policy;
    ActionHost host(fleet, "h1", 1, 11, policy);
    const state::Action action = ActionWith(host.Issue());
    const std::shared_ptr<std::vector<state::ActionReply>> replies =
        host.Ask(action);
    fleet.time.RunFor(state::Milliseconds(2'000));
    REQUIRE(replies->size() == 1);
    CHECK(NameOf(replies->front().outcome) == NameOf(row.outcome));
    CHECK(fleet.servers.sent.size() == row.sent);
    CHECK(fleet.servers.runs_by_ask["1"] <= 1);
    CHECK(host.gate.open_permits == 0);
    CHECK(host.executor.InFlight() == 0);
    // A retry of the caller gets the same outcome without a new run.
    const std::shared_ptr<std::vector<state::ActionReply>> again =
        host.Ask(action);
    REQUIRE(again->size() == 1);
    CHECK(again->front().outcome == replies->front().outcome);
    CHECK(fleet.servers.sent.size() == row.sent);
  }
}

TEST_CASE("The baseline that retries any failure runs actions twice") {
  std::size_t run_twice = 0;
  for (const FaultRow& row : FaultRows()) {
    SimulatedFleet fleet;
    SetFirstOutcome(fleet, row);
    RetryAnyFailurePolicy policy;
    ActionHost host(fleet, "h1", 1, 11, policy);
    host.Ask(ActionWith(host.Issue()));
    fleet.time.RunFor(state::Milliseconds(2'000));
    if (fleet.servers.runs_by_ask["1"] > 1) ++run_twice;
  }
  // Rejected, lost, unreadable, cancelled, given up, stopped, crossed refusal.
  // A silent connection leaves no time for a second attempt.
  CHECK(run_twice == 7);
}

TEST_CASE("An attempt is marked, bound in time and sent to the key's shard") {
  SimulatedFleet fleet;
  AtMostOncePolicy policy;
  ActionHost host(fleet, "h1", 1, 11, policy);
  const state::Ticket ticket = host.Issue();
  const state::TimePoint asked_at = fleet.time.Now();
  host.Ask(ActionWith(ticket));
  REQUIRE(fleet.servers.sent.size() == 1);
  const state::SubRequest& sent = fleet.servers.sent[0];
  CHECK(!sent.is_idempotent);
  CHECK(sent.request == ticket.id);
  CHECK(sent.shard == 2);
  CHECK(sent.server == state::ServerId("b1"));
  CHECK(sent.range.Contains(kKey));
  CHECK(sent.deadline == asked_at + state::Milliseconds(500));
  CHECK(sent.send_before == asked_at + state::Milliseconds(100));
  CHECK(host.gate.kinds == std::vector<WorkKind>{WorkKind::kFirst});
}

TEST_CASE("An action that every replica refuses ends in a final not_run") {
  SimulatedFleet fleet;
  AtMostOncePolicy policy;
  ActionHost host(fleet, "h1", 1, 11, policy);
  host.gate.closed = {"b1", "b2"};
  const state::Action action = ActionWith(host.Issue());
  const std::shared_ptr<std::vector<state::ActionReply>> refused =
      host.Ask(action);
  REQUIRE(refused->size() == 1);
  CHECK(refused->front().outcome == state::Outcome::kNotRun);
  CHECK(refused->front().retry_after > state::Duration(0));
  host.gate.closed.clear();
  const std::shared_ptr<std::vector<state::ActionReply>> again =
      host.Ask(action);
  REQUIRE(again->size() == 1);
  CHECK(again->front().outcome == state::Outcome::kNotRun);
  CHECK(fleet.servers.sent.empty());
}

TEST_CASE("Each replica is tried once, and refusals end in not_run") {
  SimulatedFleet fleet;
  fleet.servers.outcome_source = [](const state::SubRequest&) {
    return Replying(false, state::ReplyStatus::kShed);
  };
  AtMostOncePolicy policy;
  ActionHost host(fleet, "h1", 1, 11, policy);
  const std::shared_ptr<std::vector<state::ActionReply>> replies =
      host.Ask(ActionWith(host.Issue()));
  fleet.time.RunFor(state::Milliseconds(100));
  REQUIRE(replies->size() == 1);
  CHECK(replies->front().outcome == state::Outcome::kNotRun);
  CHECK(replies->front().reason == "shed");
  CHECK(fleet.servers.sent.size() == 2);
  CHECK(host.gate.kinds ==
        std::vector<WorkKind>{WorkKind::kFirst, WorkKind::kRetry});
}

TEST_CASE("No attempt starts after the deadline") {
  SimulatedFleet fleet;
  fleet.servers.outcome_source = [](const state::SubRequest&) {
    AttemptOutcome attempt_outcome = Replying(false, state::ReplyStatus::kShed);
    attempt_outcome.delay = state::Milliseconds(10'000);  // cut to the deadline
    return attempt_outcome;
  };
  AtMostOncePolicy policy;
  ActionHost host(fleet, "h1", 1, 11, policy);
  const std::shared_ptr<std::vector<state::ActionReply>> replies =
      host.Ask(ActionWith(host.Issue()));
  fleet.time.RunFor(state::Milliseconds(1'000));
  REQUIRE(replies->size() == 1);
  CHECK(replies->front().outcome == state::Outcome::kNotRun);
  CHECK(fleet.servers.sent.size() == 1);
}

TEST_CASE("Two concurrent copies of one action run once, both answered") {
  SimulatedFleet fleet;
  AtMostOncePolicy policy;
  ActionHost host(fleet, "h1", 1, 11, policy);
  const state::Action action = ActionWith(host.Issue());
  const std::shared_ptr<std::vector<state::ActionReply>> first =
      host.Ask(action);
  const std::shared_ptr<std::vector<state::ActionReply>> second =
      host.Ask(action);
  fleet.time.RunFor(state::Milliseconds(100));
  REQUIRE(first->size() == 1);
  REQUIRE(second->size() == 1);
  CHECK(first->front().outcome == state::Outcome::kOk);
  CHECK(second->front().outcome == state::Outcome::kOk);
  CHECK(fleet.servers.sent.size() == 1);
}

TEST_CASE("A copy with a shorter deadline gets unknown at that deadline") {
  SimulatedFleet fleet;
  fleet.servers.outcome_source = [](const state::SubRequest&) {
    AttemptOutcome attempt_outcome;
    attempt_outcome.delay = state::Milliseconds(400);
    return attempt_outcome;
  };
  AtMostOncePolicy policy;
  ActionHost host(fleet, "h1", 1, 11, policy);
  state::Action action = ActionWith(host.Issue());
  const std::shared_ptr<std::vector<state::ActionReply>> first =
      host.Ask(action);
  action.deadline = state::Milliseconds(100);
  const std::shared_ptr<std::vector<state::ActionReply>> short_deadline =
      host.Ask(action);
  fleet.time.RunFor(state::Milliseconds(200));
  REQUIRE(short_deadline->size() == 1);
  CHECK(short_deadline->front().outcome == state::Outcome::kUnknown);
  CHECK(first->empty());
  fleet.time.RunFor(state::Milliseconds(400));
  REQUIRE(first->size() == 1);
  CHECK(first->front().outcome == state::Outcome::kOk);
}

TEST_CASE("No ticket is issued for an action that can't run") {
  struct Row {
    const char* name;
    const char* service;
    std::uint64_t key;
    std::size_t max_tickets;
    state::Outcome outcome;
  };
  const std::vector<Row> rows = {
      {"unknown service", "nothing", kKey, 8, state::Outcome::kInvalid},
      {"key of no shard", "swipes", 200, 8, state::Outcome::kInvalid},
      {"table full", "swipes", kKey, 0, state::Outcome::kNotRun},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    SimulatedFleet fleet;
    AtMostOncePolicy policy;
    TicketLimits limits;
    limits.max_tickets = row.max_tickets;
    ActionHost host(fleet, "h1", 1, 11, policy, limits);
    const TicketResult ticket =
        host.executor.IssueTicket(state::ServiceId(row.service), row.key);
    REQUIRE(!state::IsOk(ticket));
    CHECK(NameOf(state::ErrorOf(ticket).outcome) == NameOf(row.outcome));
  }
}

TEST_CASE("An action whose key lost its shard is not run") {
  SimulatedFleet fleet;
  AtMostOncePolicy policy;
  ActionHost host(fleet, "h1", 1, 11, policy);
  const state::Ticket ticket = host.Issue();
  state::ServiceEntry smaller = SwipesService();
  smaller.shards.pop_back();
  PutService(host.catalogue, smaller, 2);
  const std::shared_ptr<std::vector<state::ActionReply>> replies =
      host.Ask(ActionWith(ticket));
  REQUIRE(replies->size() == 1);
  CHECK(replies->front().outcome == state::Outcome::kNotRun);
}

}  // namespace
}  // namespace banyanknot::coordination::action_test
