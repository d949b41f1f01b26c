#include "banyanknot/coordination/delegation/change_history.h"

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace banyanknot::coordination {
namespace {

using state::Milliseconds;

const state::TimePoint kStart{Milliseconds(100'000)};

RoutingBatch Batch(std::uint64_t revision, std::vector<EncodedChange> encoded,
                   std::uint64_t era = 0) {
  RoutingBatch batch;
  batch.position = {revision, era};
  batch.encoded = std::move(encoded);
  return batch;
}

std::vector<std::string> KeysOf(const PassedChanges& passed) {
  std::vector<std::string> keys;
  for (const EncodedChange& change : passed.changes) {
    keys.push_back(change.key);
  }
  return keys;
}

TEST_CASE("A follower gets just the changes after its revision, in order") {
  ChangeHistory history;
  CHECK(history.After({0}, kStart).is_history_gone);
  CHECK(history.Snapshot(kStart).is_history_gone);
  history.RecordSnapshot(Batch(10, {{"a", "a1", false, 5}}), kStart);
  history.RecordChanges(
      {10}, Batch(14, {{"b", "b1", false, 12}, {"a", "", true, 14}}), kStart);
  history.RecordChanges({14}, Batch(20, {{"c", "c1", false, 20}}), kStart);
  CHECK(KeysOf(history.After({10}, kStart)) ==
        std::vector<std::string>{"b", "a", "c"});
  // Followed directly for a while, in other batches.
  CHECK(KeysOf(history.After({12}, kStart)) ==
        std::vector<std::string>{"a", "c"});
  CHECK(history.After({20}, kStart).changes.empty());
  CHECK(history.After({99}, kStart).changes.empty());
  CHECK(history.After({10}, kStart).position.revision == 20);
  CHECK(history.After({9}, kStart).is_history_gone);
  const PassedChanges snapshot = history.Snapshot(kStart);
  CHECK(snapshot.is_snapshot);
  CHECK(snapshot.position.revision == 20);
  CHECK(KeysOf(snapshot) == std::vector<std::string>{"b", "c"});
}

TEST_CASE("The history is as old as the last word from the source") {
  ChangeHistory history;
  history.RecordSnapshot(Batch(10, {}), kStart);
  CHECK(history.After({10}, kStart + Milliseconds(700)).age ==
        Milliseconds(700));
  history.RecordChanges({10}, Batch(10, {}), kStart + Milliseconds(900));
  CHECK(history.After({10}, kStart + Milliseconds(1'000)).age ==
        Milliseconds(100));
  CHECK_FALSE(history.After({10}, kStart).defers_removals);
  history.RecordReturn(kStart + Milliseconds(1'000));
  CHECK(history.After({10}, kStart + Milliseconds(1'500)).defers_removals);
  CHECK_FALSE(
      history.After({10}, kStart + Milliseconds(4'000)).defers_removals);
}

TEST_CASE("Old changes are forgotten, and said to be") {
  ChangeHistory history;
  history.RecordSnapshot(Batch(1, {}), kStart);
  for (std::uint64_t revision = 2; revision < 1'000; ++revision) {
    history.RecordChanges(
        {revision - 1},
        Batch(revision, {{"k", std::string(100, 'x'), false, revision}}),
        kStart);
  }
  CHECK(history.After({1}, kStart).is_history_gone);
  CHECK(history.After({998}, kStart).changes.size() == 1);
  CHECK(history.After({999 - ChangeHistory::kMaxBatches}, kStart)
            .changes.size() == ChangeHistory::kMaxBatches);
  CHECK(history.Snapshot(kStart).changes.size() == 1);
  for (std::uint64_t revision = 1'000; revision < 1'010; ++revision) {
    history.RecordChanges(
        {revision - 1},
        Batch(revision, {{"k", std::string(1u << 20, 'x'), false, revision}}),
        kStart);
  }
  CHECK(history.After({1'000}, kStart).is_history_gone);
  CHECK(history.After({1'008}, kStart).changes.size() == 1);
}

TEST_CASE("Waiting followers are told of the next change once") {
  ChangeHistory history;
  history.RecordSnapshot(Batch(10, {}), kStart);
  int calls = 0;
  const std::shared_ptr<std::function<void()>> handler =
      std::make_shared<std::function<void()>>([&calls] { ++calls; });
  history.NotifyAfter({10}, handler);
  history.RecordChanges({10}, Batch(10, {}), kStart);
  CHECK(calls == 0);
  history.RecordChanges({10}, Batch(11, {{"a", "", false, 11}}), kStart);
  CHECK(calls == 1);
  history.RecordChanges({11}, Batch(12, {{"a", "", false, 12}}), kStart);
  CHECK(calls == 1);
  history.NotifyAfter({11}, handler);  // there is one already
  CHECK(calls == 2);
  {
    const std::shared_ptr<std::function<void()>> gone =
        std::make_shared<std::function<void()>>([&calls] { ++calls; });
    history.NotifyAfter({12}, gone);
  }
  history.RecordChanges({12}, Batch(13, {{"a", "", false, 13}}), kStart);
  CHECK(calls == 2);
}

TEST_CASE("No changes lead from one era of the source to another") {
  ChangeHistory history;
  history.RecordSnapshot(Batch(10, {{"a", "a1", false, 10}}, 1), kStart);
  const std::shared_ptr<std::function<void()>> notified =
      std::make_shared<std::function<void()>>();
  int notifications = 0;
  *notified = [&notifications] { ++notifications; };
  history.NotifyAfter({10, 1}, notified);
  // Lost and written again under other revisions.
  history.RecordSnapshot(Batch(7, {{"a", "a0", false, 3}}, 2), kStart);
  CHECK(notifications == 1);
  history.RecordChanges({7, 2}, Batch(12, {{"a", "a2", false, 12}}, 2), kStart);
  for (const state::SourcePosition& other :
       {state::SourcePosition{10, 1}, {10, 0}, {10, 3}}) {
    const PassedChanges passed = history.After(other, kStart);
    CHECK(passed.is_history_gone);
    CHECK(passed.changes.empty());
    CHECK(passed.position == state::SourcePosition{12, 2});
  }
  CHECK(KeysOf(history.After({7, 2}, kStart)) == std::vector<std::string>{"a"});
}

TEST_CASE("Nothing is passed on across changes that were not heard") {
  const RoutingBatch snapshot = Batch(10, {{"a", "a1", false, 5}}, 1);
  for (const state::SourcePosition& after :
       {state::SourcePosition{11, 1}, {10, 0}, {10, 2}}) {
    ChangeHistory history;
    history.RecordSnapshot(snapshot, kStart);
    history.RecordChanges(after, Batch(14, {{"b", "b1", false, 14}}, after.era),
                          kStart);
    CHECK(history.Snapshot(kStart).is_history_gone);
    CHECK(history.Snapshot(kStart).changes.empty());
    CHECK(history.After({14, after.era}, kStart).is_history_gone);
    CHECK(history.After({10, 1}, kStart).is_history_gone);
    history.RecordSnapshot(snapshot, kStart);
    CHECK(KeysOf(history.Snapshot(kStart)) == std::vector<std::string>{"a"});
  }
  ChangeHistory empty;
  empty.RecordChanges({10}, Batch(14, {{"b", "b1", false, 14}}), kStart);
  CHECK(empty.Snapshot(kStart).is_history_gone);
  CHECK(empty.After({14}, kStart).is_history_gone);
}

TEST_CASE("Irrelevant changes leave no gap in the history") {
  ChangeHistory history;
  history.RecordSnapshot(Batch(10, {}), kStart);
  history.RecordChanges({10}, Batch(30, {}), kStart);
  history.RecordChanges({30}, Batch(31, {{"a", "a1", false, 31}}), kStart);
  CHECK(KeysOf(history.After({10}, kStart)) == std::vector<std::string>{"a"});
}

TEST_CASE("A change that is heard twice doesn't replace a later one") {
  ChangeHistory history;
  history.RecordSnapshot(Batch(10, {}), kStart);
  history.RecordChanges({10}, Batch(12, {{"a", "a2", false, 12}}), kStart);
  history.RecordChanges({10}, Batch(11, {{"a", "a1", false, 11}}), kStart);
  const PassedChanges snapshot = history.Snapshot(kStart);
  REQUIRE(snapshot.changes.size() == 1);
  CHECK(snapshot.changes.front().text == "a2");
  CHECK(snapshot.position.revision == 12);
}

TEST_CASE("What another host said is passed on, but doesn't make it fresh") {
  ChangeHistory history;
  RoutingBatch batch = Batch(10, {{"a", "a1", false, 10}});
  batch.is_passed_on = true;
  history.RecordSnapshot(batch, kStart);
  CHECK(KeysOf(history.Snapshot(kStart)) == std::vector<std::string>{"a"});
  CHECK(history.Snapshot(kStart).age == ChangeHistory::kUnconfirmedAge);
  history.RecordChanges({10}, Batch(10, {}), kStart);
  CHECK(history.Snapshot(kStart).age == Milliseconds(0));
  batch.encoded = {{"a", "a2", false, 11}};
  batch.position.revision = 11;
  history.RecordChanges({10}, batch, kStart + Milliseconds(500));
  CHECK(history.Snapshot(kStart + Milliseconds(500)).age == Milliseconds(500));
  CHECK(history.After({10}, kStart).changes.size() == 1);
}

}  // namespace
}  // namespace banyanknot::coordination
