#include "banyanknot/coordination/fleet/text_splices.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "support/seeded_property.h"

namespace banyanknot::coordination {
namespace {

constexpr std::uint64_t kSeed = 20260917;

std::string LargeEntry(std::size_t servers, const std::string& domain_state) {
  std::string text;
  for (std::size_t index = 0; index < servers; ++index) {
    text += R"({"id":"s)" + std::to_string(index) + R"(","domain":"d)" +
            std::to_string(index % 4) + R"(","address":"10.0.0.1","port":)" +
            std::to_string(10000 + index) + R"(,"slots":)" +
            (index % 4 == 0 ? domain_state : "2") + "},";
  }
  return text;
}

std::size_t InsertedBytes(const std::vector<TextSplice>& splices) {
  std::size_t bytes = 0;
  for (const TextSplice& splice : splices) bytes += splice.inserted.size();
  return bytes;
}

TEST_CASE("FindSplices and ApplySplices agree for any two texts") {
  constexpr int kCases = 100;
  testing::CheckSeeded(
      kSeed, kCases, [](const std::string& base, const std::string& target) {
        RC_ASSERT(ApplySplices(base, FindSplices(base, target)) == target);
      });
}

TEST_CASE("FindSplices and ApplySplices agree for texts that share parts") {
  std::mt19937_64 random(kSeed);
  for (int round = 0; round < 300; ++round) {
    std::string base;
    std::string target;
    for (int part = 0; part < 20; ++part) {
      const std::string shared(1 + random() % 90,
                               static_cast<char>('a' + random() % 3));
      if (random() % 4 != 0) base += shared + std::to_string(random() % 9);
      if (random() % 4 != 0) target += shared + std::to_string(random() % 9);
    }
    REQUIRE(ApplySplices(base, FindSplices(base, target)) == target);
  }
}

TEST_CASE("Scattered edits of a large entry give small splices") {
  const std::string base = LargeEntry(13'000, "2");
  const std::string target = "[" + LargeEntry(13'000, "3") + "]";
  REQUIRE(base.size() > 900'000);
  const std::vector<TextSplice> splices = FindSplices(base, target);
  CHECK(ApplySplices(base, splices) == target);
  CHECK(splices.size() <= 3'252);
  CHECK(InsertedBytes(splices) <= 3'252);
}

TEST_CASE("ApplySplices refuses splices that do not fit the base") {
  struct Case {
    const char* name;
    std::vector<TextSplice> splices;
  };
  const std::vector<Case> cases{
      {"offset past the end", {{11, 0, "x"}}},
      {"removes past the end", {{8, 3, ""}}},
      {"removes far past the end", {{1, 0xffffffff, ""}}},
      {"out of order", {{5, 0, "x"}, {4, 0, "y"}}},
      {"overlapping", {{2, 4, ""}, {5, 1, ""}}},
  };
  for (const Case& item : cases) {
    INFO(item.name);
    CHECK(ApplySplices("0123456789", item.splices) == std::nullopt);
  }
}

}  // namespace
}  // namespace banyanknot::coordination
