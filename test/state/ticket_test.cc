#include "banyanknot/state/ticket.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace banyanknot::state {
namespace {

const Ticket kTicket{HostId("north.west-2"), {0x0123456789ABCDEF, 42}, 0xBEEF};

TEST_CASE("A ticket round-trips through its text") {
  CHECK(ToText(kTicket) ==
        "north.west-2.0123456789abcdef000000000000002a.000000000000beef");
  const std::optional<Ticket> read = TicketFromText(ToText(kTicket));
  REQUIRE(read);
  CHECK(*read == kTicket);
}

TEST_CASE("TicketFromText refuses malformed text") {
  const std::string good = ToText(kTicket);
  const std::vector<std::string> rows = {
      "",
      "ticket",
      good + "0",
      good.substr(0, good.size() - 1),
      good.substr(std::string("north.west-2").size()),
      std::string(kMaxTicketBytes, 'a') + good,
      "h 0123456789abcdef000000000000002a 000000000000beef",
      "h.0123456789abcdeg000000000000002a.000000000000beef",
      "h.0123456789abcdef000000000000002a.00000000000-beef",
      "h.0123456789abcdef000000000000002a000000000000.beef",
  };
  for (const std::string& row : rows) {
    INFO(row);
    CHECK(!TicketFromText(row));
  }
}

}  // namespace
}  // namespace banyanknot::state
