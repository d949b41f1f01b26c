#include "banyanknot/state/key_range_set.h"

#include <catch2/catch.hpp>

namespace banyanknot::state {
namespace {

TEST_CASE("KeyRangeSet merges adjacent ranges and reports new ones") {
  KeyRangeSet set;
  CHECK(set.Insert({10, 20}) == std::vector<KeyRange>{{10, 20}});
  CHECK(set.Insert({30, 40}) == std::vector<KeyRange>{{30, 40}});
  CHECK(set.Insert({15, 35}) == std::vector<KeyRange>{{20, 30}});
  CHECK(set.Ranges() == std::vector<KeyRange>{{10, 40}});
  CHECK(set.Insert({10, 40}).empty());
  CHECK(set.Insert({5, 5}).empty());
  CHECK(set.Size() == 30);
  CHECK(set.MissingFrom({0, 50}) == std::vector<KeyRange>{{0, 10}, {40, 50}});
}

}  // namespace
}  // namespace banyanknot::state
