#include "platform/storm/route_history.h"

#include <catch2/catch.hpp>

namespace banyanknot::platform::edge_testing {
namespace {

TEST_CASE("A history tells which versions explain an answer") {
  RouteHistory history;
  history.Add(3, {{"/a/", "one"}});
  history.Add(5, {{"/a/", "two"}});
  history.Add(9, {{"/b/", "one"}});
  struct Row {
    std::uint64_t from;
    const char* prefix;
    const char* service;
    std::uint64_t first;
  };
  const std::vector<Row> rows = {
      {1, "/a/", RouteHistory::kNoRoute, 1},
      {1, "/a/", "one", 3},
      {4, "/a/", "one", 4},
      {5, "/a/", "one", 0},
      {4, "/a/", "two", 5},
      {9, "/a/", "two", 0},
      {5, "/a/", RouteHistory::kNoRoute, 9},
      {3, "/a/", "three", 0},
      {5, "/b/", RouteHistory::kNoRoute, 5},
      {9, "/b/", RouteHistory::kNoRoute, 0},
      {2, "/c/", RouteHistory::kNoRoute, 2},
  };
  for (const Row& row : rows) {
    INFO(row.from << row.prefix << row.service);
    CHECK(history.FirstFrom(row.from, row.prefix, row.service) == row.first);
  }
}

TEST_CASE("A history knows the newest version that was acknowledged") {
  using std::chrono::seconds;
  RouteHistory history;
  const RouteHistory::TimePoint start{seconds(100)};
  CHECK(history.NewestBy(start) == 0);
  history.Add(3, {});
  history.Acknowledge(start);
  history.Add(4, {});
  CHECK(history.NewestBy(start + seconds(1)) == 3);
  history.Acknowledge(start + seconds(2));
  CHECK(history.NewestBy(start + seconds(1)) == 3);
  CHECK(history.NewestBy(start + seconds(2)) == 4);
}

}  // namespace
}  // namespace banyanknot::platform::edge_testing
