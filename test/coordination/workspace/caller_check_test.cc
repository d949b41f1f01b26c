#include "banyanknot/coordination/workspace/caller_check.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

namespace banyanknot::coordination {
namespace {

using state::Milliseconds;

state::Workspace MakeWorkspace(const char* id, std::vector<std::string> keys) {
  state::Workspace workspace;
  workspace.id = state::WorkspaceId(id);
  for (std::string& key : keys) workspace.keys.emplace_back(std::move(key));
  return workspace;
}

state::RouteTable MakeTable() {
  return {1,
          {},
          {},
          {},
          std::vector<state::Workspace>{MakeWorkspace("farm", {"k1", "k2"}),
                                        MakeWorkspace("office", {"k3"}),
                                        MakeWorkspace("idle", {})}};
}

TEST_CASE("A caller is told by its key and the age of the view") {
  struct Row {
    const char* name;
    const char* key;  // null if the caller sent none
    bool needs_key;
    std::optional<state::Duration> view_age;
    CallerVerdict open;    // where a host that lost the source goes on
    CallerVerdict strict;  // where it accepts no keys then
    const char* workspace;
  };
  const std::optional<state::Duration> fresh = Milliseconds(900);
  const std::optional<state::Duration> old = Milliseconds(6'000);
  const std::vector<Row> rows = {
      {"known", "k2", true, fresh, CallerVerdict::kWorkspace,
       CallerVerdict::kWorkspace, "farm"},
      {"known, exempt route", "k3", false, fresh, CallerVerdict::kWorkspace,
       CallerVerdict::kWorkspace, "office"},
      {"known, source lost", "k2", true, old, CallerVerdict::kWorkspace,
       CallerVerdict::kUncertain, "farm"},
      {"known, source never heard", "k2", true, std::nullopt,
       CallerVerdict::kWorkspace, CallerVerdict::kUncertain, "farm"},
      {"unknown", "k9", true, fresh, CallerVerdict::kUnknownKey,
       CallerVerdict::kUnknownKey, ""},
      {"unknown, exempt route", "k9", false, fresh, CallerVerdict::kUnknownKey,
       CallerVerdict::kUnknownKey, ""},
      {"unknown, source lost", "k9", true, old, CallerVerdict::kUncertain,
       CallerVerdict::kUncertain, ""},
      {"unknown, source never heard", "k9", true, std::nullopt,
       CallerVerdict::kUncertain, CallerVerdict::kUncertain, ""},
      {"none", nullptr, true, fresh, CallerVerdict::kNoKey,
       CallerVerdict::kNoKey, ""},
      {"none, source lost", nullptr, true, old, CallerVerdict::kUncertain,
       CallerVerdict::kUncertain, ""},
      {"none, exempt route", nullptr, false, old, CallerVerdict::kAnonymous,
       CallerVerdict::kAnonymous, ""},
      {"empty", "", true, fresh, CallerVerdict::kUnknownKey,
       CallerVerdict::kUnknownKey, ""},
  };
  const state::RouteTable table = MakeTable();
  for (const Row& row : rows) {
    for (const bool is_strict : {false, true}) {
      INFO(row.name << (is_strict ? ", strict" : ""));
      state::Route route;
      route.needs_key = row.needs_key;
      std::optional<state::KeyDigest> key;
      if (row.key != nullptr) key = state::KeyDigest(row.key);
      KeyViewLimits limits;
      if (is_strict) limits.known_key = Milliseconds(5'000);
      const CallerDecision decision =
          CheckCaller(table, route, key, row.view_age, limits);
      const CallerVerdict expected = is_strict ? row.strict : row.open;
      CHECK(decision.verdict == expected);
      REQUIRE((decision.workspace != nullptr) ==
              (expected == CallerVerdict::kWorkspace));
      if (decision.workspace != nullptr) {
        CHECK(decision.workspace->id.Text() == row.workspace);
      }
    }
  }
}

TEST_CASE("A table with an empty list of workspaces requires keys") {
  const state::RouteTable none(1, {}, {}, {});
  CHECK_FALSE(none.RequiresKeys());
  const state::RouteTable empty(1, {}, {}, {}, std::vector<state::Workspace>());
  CHECK(empty.RequiresKeys());
  CHECK(empty.FindWorkspace(state::KeyDigest("k1")) == nullptr);
}

}  // namespace
}  // namespace banyanknot::coordination
