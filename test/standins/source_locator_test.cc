#include "source_locator.h"

#include <catch2/catch.hpp>
#include <string>

namespace banyanknot::standins {
namespace {

TEST_CASE("Each failure domain connects from an address of its own") {
  AddressSourceLocator locator;
  const std::string west = locator.AddressOf("west");
  const std::string east = locator.AddressOf("east");
  CHECK(west != east);
  CHECK(locator.AddressOf("west") == west);
  CHECK(locator.DomainOf(west) == "west");
  CHECK(locator.DomainOf(east) == "east");
}

TEST_CASE("A connection from elsewhere is of no failure domain") {
  AddressSourceLocator locator;
  locator.AddressOf("west");
  CHECK(locator.DomainOf("127.0.0.1").empty());
}

}  // namespace
}  // namespace banyanknot::standins
