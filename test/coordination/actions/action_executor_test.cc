#include "banyanknot/coordination/actions/action_executor.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "coordination/actions/action_world.h"

namespace banyanknot::coordination::action_test {
namespace {

// What becomes of the first attempt; a second one would run well.
struct FaultRow {
  const char* name;
  AttemptFate first;
  state::Outcome outcome;
  std::size_t sent;
};

AttemptFate Failing(bool runs, BackendFailure failure) {
  AttemptFate fate;
  fate.runs = runs;
  fate.failure = failure;
  return fate;
}

AttemptFate Replying(bool runs, state::ReplyStatus status) {
  AttemptFate fate;
  fate.runs = runs;
  fate.status = status;
  return fate;
}

AttemptFate Crossed(state::ReplyStatus status) {
  AttemptFate fate = Replying(true, status);
  fate.is_crossed = true;
  return fate;
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
      {"cancelled on the way", Failing(true, Failure::kCancelled),
       Outcome::kUnknown, 1},
      {"server gave up half way", Replying(true, Status::kDeadline),
       Outcome::kUnknown, 1},
      {"server was told to stop", Replying(true, Status::kCancelled),
       Outcome::kUnknown, 1},
      {"crossed reply says ok", Crossed(Status::kOk), Outcome::kUnknown, 1},
      {"crossed reply says shed", Crossed(Status::kShed), Outcome::kUnknown, 1},
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

// Lets the first attempt end as the row says and all later ones run.
void Arrange(ActionWorld& world, const FaultRow& row) {
  world.servers.fate_source = [&row](const state::SubRequest& request) {
    return request.attempt == 1 ? row.first : AttemptFate{};
  };
}

TEST_CASE("An action runs at most once whatever becomes of its attempt") {
  for (const FaultRow& row : FaultRows()) {
    INFO(row.name);
    ActionWorld world;
    Arrange(world, row);
    AtMostOncePolicy policy;
    ActionHost host(world, "h1", 1, 11, policy);
    const state::Action action = ActionWith(host.Issue());
    const std::shared_ptr<std::vector<state::ActionReply>> replies =
        host.Ask(action);
    world.time.RunFor(state::Milliseconds(2'000));
    REQUIRE(replies->size() == 1);
    CHECK(NameOf(replies->front().outcome) == NameOf(row.outcome));
    CHECK(world.servers.sent.size() == row.sent);
    CHECK(world.servers.runs_by_ask["1"] <= 1);
    CHECK(host.gate.open_permits == 0);
    CHECK(host.executor.InFlight() == 0);
    // The caller lost the answer and asks again: the same, and no new run.
    const std::shared_ptr<std::vector<state::ActionReply>> again =
        host.Ask(action);
    REQUIRE(again->size() == 1);
    CHECK(again->front().outcome == replies->front().outcome);
    CHECK(world.servers.sent.size() == row.sent);
  }
}

TEST_CASE("The baseline that retries any failure runs actions twice") {
  std::size_t doubled = 0;
  for (const FaultRow& row : FaultRows()) {
    ActionWorld world;
    Arrange(world, row);
    RetryAnyFailurePolicy policy;
    ActionHost host(world, "h1", 1, 11, policy);
    host.Ask(ActionWith(host.Issue()));
    world.time.RunFor(state::Milliseconds(2'000));
    if (world.servers.runs_by_ask["1"] > 1) ++doubled;
  }
  // Rejected, lost, unreadable, cancelled, given up, stopped, crossed refusal.
  // A silent connection leaves no time for a second attempt.
  CHECK(doubled == 7);
}

TEST_CASE("An attempt is marked, bound in time and sent to the key's shard") {
  ActionWorld world;
  AtMostOncePolicy policy;
  ActionHost host(world, "h1", 1, 11, policy);
  const state::Ticket ticket = host.Issue();
  const state::TimePoint asked_at = world.time.Now();
  host.Ask(ActionWith(ticket));
  REQUIRE(world.servers.sent.size() == 1);
  const state::SubRequest& sent = world.servers.sent[0];
  CHECK(!sent.is_idempotent);
  CHECK(sent.request == ticket.id);
  CHECK(sent.shard == 2);
  CHECK(sent.server == state::ServerId("b1"));
  CHECK(sent.range.Contains(kKey));
  CHECK(sent.deadline == asked_at + state::Milliseconds(500));
  CHECK(sent.send_before == asked_at + state::Milliseconds(100));
  CHECK(host.gate.kinds == std::vector<WorkKind>{WorkKind::kFirst});
}

TEST_CASE("When no replica takes it, it is not run, and that is final") {
  ActionWorld world;
  AtMostOncePolicy policy;
  ActionHost host(world, "h1", 1, 11, policy);
  host.gate.shut = {"b1", "b2"};
  const state::Action action = ActionWith(host.Issue());
  const std::shared_ptr<std::vector<state::ActionReply>> refused =
      host.Ask(action);
  REQUIRE(refused->size() == 1);
  CHECK(refused->front().outcome == state::Outcome::kNotRun);
  CHECK(refused->front().retry_after > state::Duration(0));
  host.gate.shut.clear();
  const std::shared_ptr<std::vector<state::ActionReply>> again =
      host.Ask(action);
  REQUIRE(again->size() == 1);
  CHECK(again->front().outcome == state::Outcome::kNotRun);
  CHECK(world.servers.sent.empty());
}

TEST_CASE("Each replica is tried once, and refusals end in not_run") {
  ActionWorld world;
  world.servers.fate_source = [](const state::SubRequest&) {
    return Replying(false, state::ReplyStatus::kShed);
  };
  AtMostOncePolicy policy;
  ActionHost host(world, "h1", 1, 11, policy);
  const std::shared_ptr<std::vector<state::ActionReply>> replies =
      host.Ask(ActionWith(host.Issue()));
  world.time.RunFor(state::Milliseconds(100));
  REQUIRE(replies->size() == 1);
  CHECK(replies->front().outcome == state::Outcome::kNotRun);
  CHECK(replies->front().reason == "shed");
  CHECK(world.servers.sent.size() == 2);
  CHECK(host.gate.kinds ==
        std::vector<WorkKind>{WorkKind::kFirst, WorkKind::kRetry});
}

TEST_CASE("No attempt starts after the deadline") {
  ActionWorld world;
  world.servers.fate_source = [](const state::SubRequest&) {
    AttemptFate fate = Replying(false, state::ReplyStatus::kShed);
    fate.delay = state::Milliseconds(10'000);  // cut to the deadline
    return fate;
  };
  AtMostOncePolicy policy;
  ActionHost host(world, "h1", 1, 11, policy);
  const std::shared_ptr<std::vector<state::ActionReply>> replies =
      host.Ask(ActionWith(host.Issue()));
  world.time.RunFor(state::Milliseconds(1'000));
  REQUIRE(replies->size() == 1);
  CHECK(replies->front().outcome == state::Outcome::kNotRun);
  CHECK(world.servers.sent.size() == 1);
}

TEST_CASE("Two copies of one ask at the same time run once, both answered") {
  ActionWorld world;
  AtMostOncePolicy policy;
  ActionHost host(world, "h1", 1, 11, policy);
  const state::Action action = ActionWith(host.Issue());
  const std::shared_ptr<std::vector<state::ActionReply>> first =
      host.Ask(action);
  const std::shared_ptr<std::vector<state::ActionReply>> second =
      host.Ask(action);
  world.time.RunFor(state::Milliseconds(100));
  REQUIRE(first->size() == 1);
  REQUIRE(second->size() == 1);
  CHECK(first->front().outcome == state::Outcome::kOk);
  CHECK(second->front().outcome == state::Outcome::kOk);
  CHECK(world.servers.sent.size() == 1);
}

TEST_CASE("A copy with a shorter deadline is told unknown in its time") {
  ActionWorld world;
  world.servers.fate_source = [](const state::SubRequest&) {
    AttemptFate fate;
    fate.delay = state::Milliseconds(400);
    return fate;
  };
  AtMostOncePolicy policy;
  ActionHost host(world, "h1", 1, 11, policy);
  state::Action action = ActionWith(host.Issue());
  const std::shared_ptr<std::vector<state::ActionReply>> first =
      host.Ask(action);
  action.deadline = state::Milliseconds(100);
  const std::shared_ptr<std::vector<state::ActionReply>> hasty =
      host.Ask(action);
  world.time.RunFor(state::Milliseconds(200));
  REQUIRE(hasty->size() == 1);
  CHECK(hasty->front().outcome == state::Outcome::kUnknown);
  CHECK(first->empty());
  world.time.RunFor(state::Milliseconds(400));
  REQUIRE(first->size() == 1);
  CHECK(first->front().outcome == state::Outcome::kOk);
}

TEST_CASE("Tickets are refused where nothing could run") {
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
    ActionWorld world;
    AtMostOncePolicy policy;
    TicketLimits limits;
    limits.max_tickets = row.max_tickets;
    ActionHost host(world, "h1", 1, 11, policy, limits);
    const TicketResult ticket =
        host.executor.IssueTicket(state::ServiceId(row.service), row.key);
    REQUIRE(!state::IsOk(ticket));
    CHECK(NameOf(state::ErrorOf(ticket).outcome) == NameOf(row.outcome));
  }
}

TEST_CASE("A key that lost its shard after the ticket is not run") {
  ActionWorld world;
  AtMostOncePolicy policy;
  ActionHost host(world, "h1", 1, 11, policy);
  const state::Ticket ticket = host.Issue();
  state::ServiceEntry smaller = Swipes();
  smaller.shards.pop_back();
  PutService(host.catalogue, smaller, 2);
  const std::shared_ptr<std::vector<state::ActionReply>> replies =
      host.Ask(ActionWith(ticket));
  REQUIRE(replies->size() == 1);
  CHECK(replies->front().outcome == state::Outcome::kNotRun);
}

}  // namespace
}  // namespace banyanknot::coordination::action_test
