#include "banyanknot/coordination/routing/route_comparison.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace banyanknot::coordination {
namespace {

state::Route RouteTo(const char* name, const char* service) {
  state::Route route;
  route.name = name;
  route.prefix = "/" + route.name + "/";
  route.split = {{state::ServiceId(service), 1}};
  return route;
}

std::string DigestOf(char digit) { return std::string(40, digit); }

state::Workspace WorkspaceWith(const std::string& digits) {
  state::Workspace workspace;
  workspace.id = state::WorkspaceId("farm");
  for (const char digit : digits) workspace.keys.emplace_back(DigestOf(digit));
  return workspace;
}

TEST_CASE("Items are paired by name, whatever their order") {
  const state::RouteTable before(
      7, {RouteTo("one", "s"), RouteTo("two", "s"), RouteTo("three", "s")},
      {{state::ServiceId("s")}}, {});
  state::Route changed = RouteTo("one", "t");
  changed.objective = state::Milliseconds(50);
  const state::RouteTable after(
      8, {RouteTo("four", "s"), RouteTo("three", "s"), changed},
      {{state::ServiceId("s")}, {state::ServiceId("t")}}, {});
  CHECK(CompareRoutes(before, before).empty());
  const std::vector<RouteDifference> differences = CompareRoutes(before, after);
  REQUIRE(differences.size() == 4);
  CHECK(differences[0].kind == RouteDifferenceKind::kRemoved);
  CHECK(differences[0].name == "two");
  CHECK(differences[0].place.index == 1);
  CHECK(differences[1].kind == RouteDifferenceKind::kAdded);
  CHECK(differences[1].name == "four");
  CHECK(differences[2].kind == RouteDifferenceKind::kChanged);
  CHECK(differences[2].place.index == 2);
  CHECK(differences[2].detail == "services, objective");
  CHECK(differences[3].place.item == RouteItem::kService);
  CHECK(differences[3].name == "t");
}

TEST_CASE("Keys are shown as counts and short digests") {
  const state::RouteTable before(7, {}, {}, {}, {{WorkspaceWith("ab")}});
  const state::RouteTable after(8, {}, {}, {}, {{WorkspaceWith("bcd")}});
  const std::vector<RouteDifference> differences = CompareRoutes(before, after);
  REQUIRE(differences.size() == 1);
  CHECK(differences[0].detail == "keys 2 to 3: -aaaaaaaa +cccccccc +dddddddd");
}

TEST_CASE("It shows when callers begin to need keys") {
  const state::RouteTable before(7, {}, {}, {});
  const state::RouteTable after(8, {}, {}, {}, std::vector<state::Workspace>());
  const std::vector<RouteDifference> differences = CompareRoutes(before, after);
  REQUIRE(differences.size() == 1);
  CHECK(differences[0].place.item == RouteItem::kTable);
  CHECK(differences[0].detail == "callers need keys");
}

}  // namespace
}  // namespace banyanknot::coordination
