#include "banyanknot/coordination/routing/route_check.h"

#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace banyanknot::coordination {
namespace {

constexpr state::Duration kWindow = state::Milliseconds(5'000);

/// The parts of a table, to be changed before it is built.
struct Draft {
  Draft() {
    state::Route relayed;
    relayed.name = "relayed";
    relayed.host = "shop.example";
    relayed.prefix = "/a/";
    relayed.split = {{state::ServiceId("one"), 1},
                     {state::ServiceId("two"), 2}};
    state::Route gathered;
    gathered.name = "gathered";
    gathered.host = "shop.example";
    gathered.prefix = "/b/";
    gathered.shards = {state::ServiceId("one"), state::ServiceId("two")};
    gathered.top_k = 10;
    this->routes = {relayed, gathered};
    this->services = {{state::ServiceId("one")}, {state::ServiceId("two")}};
    this->workspaces = {{state::WorkspaceId("farm"),
                         {state::KeyDigest("digest")},
                         std::nullopt,
                         {8, 16}}};
  }
  state::RouteTable Table(std::uint64_t version = 7) const {
    return state::RouteTable(version, this->routes, this->services, {},
                             this->workspaces);
  }

  std::vector<state::Route> routes;
  std::vector<state::ServiceSpec> services;
  std::vector<state::Workspace> workspaces;
};

TEST_CASE("A sound table has no findings") {
  CHECK(CheckRoutes(Draft().Table(), kWindow).empty());
}

TEST_CASE("Each fault of a table is found at its place") {
  struct Row {
    RouteFindingKind kind;
    RoutePlace place;
    std::function<void(Draft&)> spoil;
  };
  const std::vector<Row> rows = {
      {RouteFindingKind::kShadowedRoute,
       {RouteItem::kRoute, 1},
       [](Draft& draft) { draft.routes[1].prefix = "/a/"; }},
      {RouteFindingKind::kRepeatedName,
       {RouteItem::kRoute, 1, RouteMember::kName},
       [](Draft& draft) { draft.routes[1].name = "relayed"; }},
      {RouteFindingKind::kUnmatchablePrefix,
       {RouteItem::kRoute, 0, RouteMember::kPrefix},
       [](Draft& draft) { draft.routes[0].prefix = "/a"; }},
      {RouteFindingKind::kUnmatchablePrefix,
       {RouteItem::kRoute, 0, RouteMember::kPrefix},
       [](Draft& draft) { draft.routes[0].prefix = ""; }},
      {RouteFindingKind::kUnmatchablePrefix,
       {RouteItem::kRoute, 0, RouteMember::kPrefix},
       [](Draft& draft) { draft.routes[0].prefix = "/a?b/"; }},
      {RouteFindingKind::kUnknownService,
       {RouteItem::kRoute, 0, RouteMember::kSplit, 1},
       [](Draft& draft) {
         draft.routes[0].split[1].service = state::ServiceId("three");
       }},
      {RouteFindingKind::kUnknownService,
       {RouteItem::kRoute, 1, RouteMember::kShard, 1},
       [](Draft& draft) {
         draft.routes[1].shards[1] = state::ServiceId("three");
       }},
      {RouteFindingKind::kRepeatedService,
       {RouteItem::kRoute, 1, RouteMember::kShard, 1},
       [](Draft& draft) {
         draft.routes[1].shards[1] = state::ServiceId("one");
       }},
      {RouteFindingKind::kUnusedService,
       {RouteItem::kService, 2},
       [](Draft& draft) {
         draft.services.push_back({state::ServiceId("idle")});
       }},
      {RouteFindingKind::kRepeatedName,
       {RouteItem::kService, 2, RouteMember::kName},
       [](Draft& draft) {
         draft.services.push_back({state::ServiceId("one")});
       }},
      {RouteFindingKind::kNoWeight,
       {RouteItem::kRoute, 0, RouteMember::kWeight, 1},
       [](Draft& draft) { draft.routes[0].split[1].weight = 0; }},
      {RouteFindingKind::kNoAttempts,
       {RouteItem::kRoute, 0, RouteMember::kMaxAttempts},
       [](Draft& draft) { draft.routes[0].max_attempts = 0; }},
      {RouteFindingKind::kObjectiveTooLong,
       {RouteItem::kRoute, 0, RouteMember::kTimeout},
       [](Draft& draft) {
         draft.routes[0].objective = state::Milliseconds(1'001);
       }},
      {RouteFindingKind::kNoCoverage,
       {RouteItem::kRoute, 1, RouteMember::kMinCoverage},
       [](Draft& draft) { draft.routes[1].min_coverage = 0; }},
      {RouteFindingKind::kNoRecords,
       {RouteItem::kRoute, 1, RouteMember::kTopK},
       [](Draft& draft) { draft.routes[1].top_k = 0; }},
      {RouteFindingKind::kNoKeys,
       {RouteItem::kWorkspace, 0, RouteMember::kKeys},
       [](Draft& draft) { draft.workspaces[0].keys.clear(); }},
      {RouteFindingKind::kBurstWithoutRate,
       {RouteItem::kWorkspace, 0, RouteMember::kBurst},
       [](Draft& draft) { draft.workspaces[0].quota.rate = 0; }},
      {RouteFindingKind::kScantRate,
       {RouteItem::kWorkspace, 0, RouteMember::kRate},
       [](Draft& draft) { draft.workspaces[0].quota.rate = 0.01; }},
  };
  for (const Row& row : rows) {
    Draft draft;
    row.spoil(draft);
    const std::vector<RouteFinding> findings =
        CheckRoutes(draft.Table(), kWindow);
    INFO(NameOf(row.kind));
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].kind == row.kind);
    CHECK(findings[0].place.item == row.place.item);
    CHECK(findings[0].place.index == row.place.index);
    CHECK(findings[0].place.member == row.place.member);
    CHECK(findings[0].place.part == row.place.part);
  }
}

TEST_CASE("A route at another host or of equal limits is no fault") {
  Draft draft;
  draft.routes[1].prefix = "/a/";
  draft.routes[1].host = "other.example";
  draft.routes[0].objective = draft.routes[0].timeout;
  draft.workspaces[0].quota = {};
  CHECK(CheckRoutes(draft.Table(), kWindow).empty());
}

TEST_CASE("Only a greater version replaces the one in force") {
  const Draft draft;
  CHECK(CheckSuccession(draft.Table(7), draft.Table(8)).empty());
  CHECK(CheckSuccession(draft.Table(7), draft.Table(7)).size() == 1);
  CHECK(CheckSuccession(draft.Table(7), draft.Table(6)).size() == 1);
}

}  // namespace
}  // namespace banyanknot::coordination
