#include "banyanknot/state/catalogue_table.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace banyanknot::state {
namespace {

CatalogueRecord Version(std::uint64_t revision, std::uint64_t hash) {
  CatalogueRecord record;
  record.key = "fleet";
  record.revision = revision;
  record.content_hash = hash;
  record.content = std::make_shared<const CatalogueContent>(FleetPolicy());
  return record;
}

TEST_CASE("CatalogueTable keeps the same version in any order of arrival") {
  std::vector<EntryVersion> order{
      {"", 3, 7}, {"", 3, 9}, {"", 3, 8}, {"", 2, 99}, {"", 1, 1}};
  std::sort(order.begin(), order.end(),
            [](const EntryVersion& left, const EntryVersion& right) {
              return left.content_hash < right.content_hash;
            });
  do {
    CatalogueTable table;
    for (const EntryVersion& version : order) {
      table.Put(Version(version.revision, version.content_hash));
    }
    const std::vector<EntryVersion> versions = table.Versions();
    REQUIRE(versions.size() == 1);
    CHECK(versions[0].revision == 3);
    CHECK(versions[0].content_hash == 9);
  } while (std::next_permutation(
      order.begin(), order.end(),
      [](const EntryVersion& left, const EntryVersion& right) {
        return left.content_hash < right.content_hash;
      }));
}

TEST_CASE("CatalogueTable refuses versions that are not newer") {
  struct Case {
    const char* name;
    std::uint64_t revision;
    std::uint64_t hash;
    StateError error;
  };
  const std::vector<Case> cases{
      {"older revision", 4, 100, StateError::kStaleRevision},
      {"same version", 5, 50, StateError::kStaleRevision},
      {"same revision, lesser hash", 5, 49, StateError::kConflict},
  };
  for (const Case& item : cases) {
    INFO(item.name);
    CatalogueTable table;
    table.Put(Version(5, 50));
    const Result<CatalogueRecord, StateError> result =
        table.Put(Version(item.revision, item.hash));
    REQUIRE_FALSE(IsOk(result));
    CHECK(ErrorOf(result) == item.error);
  }
}

}  // namespace
}  // namespace banyanknot::state
