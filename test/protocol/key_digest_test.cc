#include "banyanknot/protocol/key_digest.h"

#include <catch2/catch.hpp>
#include <string>

namespace banyanknot::protocol {
namespace {

TEST_CASE("The digest of a key is its SHA-1 hash") {
  CHECK(DigestOfKey("abc").Text() ==
        "a9993e364706816aba3e25717850c26c9cd0d89d");
  CHECK(DigestOfKey("").Text() == "da39a3ee5e6b4b0d3255bfef95601890afd80709");
  CHECK(DigestOfKey("abc") != DigestOfKey("abd"));
}

TEST_CASE("Only texts of a digest's form are taken for one") {
  CHECK(IsKeyDigest(DigestOfKey("abc").Text()));
  CHECK_FALSE(IsKeyDigest(""));
  CHECK_FALSE(IsKeyDigest("if3882p5wbr9bc582dm2"));
  CHECK_FALSE(IsKeyDigest(std::string(40, 'g')));
  CHECK_FALSE(IsKeyDigest(std::string(41, 'a')));
}

}  // namespace
}  // namespace banyanknot::protocol
