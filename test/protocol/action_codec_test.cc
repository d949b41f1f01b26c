#include "banyanknot/protocol/action_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace banyanknot::protocol {
namespace {

const std::string kTicketText =
    "h1.0123456789abcdef000000000000002a.000000000000beef";

TEST_CASE("DecodeAction keeps the ticket and the request body") {
  const state::Result<state::Action, ProtocolError> action = DecodeAction(
      R"({"ticket":")" + kTicketText +
      R"(","service":"swipes","key":7,"deadline_ms":250,"ask":{"plan":"gold"}})");
  REQUIRE(state::IsOk(action));
  CHECK(ToText(state::ValueOf(action).ticket) == kTicketText);
  CHECK(state::ValueOf(action).service == state::ServiceId("swipes"));
  CHECK(state::ValueOf(action).key == 7);
  CHECK(state::ValueOf(action).deadline == state::Milliseconds(250));
  CHECK(state::ValueOf(action).ask == R"({"plan":"gold"})");
}

TEST_CASE("DecodeAction reports the code and pointer of an error") {
  struct Row {
    std::string body;
    ProtocolErrorCode code;
    std::string pointer;
  };
  const std::string ticket = R"("ticket":")" + kTicketText + R"(",)";
  const std::vector<Row> rows = {
      {"", ProtocolErrorCode::kMalformed, ""},
      {"[]", ProtocolErrorCode::kWrongType, ""},
      {"{}", ProtocolErrorCode::kMissing, "/ticket"},
      {R"({"ticket":7})", ProtocolErrorCode::kWrongType, "/ticket"},
      {R"({"ticket":"h1"})", ProtocolErrorCode::kMalformed, "/ticket"},
      {"{" + ticket + R"("key":1})", ProtocolErrorCode::kMissing, "/service"},
      {"{" + ticket + R"("service":"s"})", ProtocolErrorCode::kMissing, "/key"},
      {"{" + ticket + R"("service":"s","key":-1})",
       ProtocolErrorCode::kWrongType, "/key"},
      {"{" + ticket + R"("service":"s","key":1,"deadline_ms":-5})",
       ProtocolErrorCode::kWrongType, "/deadline_ms"},
      {"{" + ticket + R"("service":"s","key":1,"deadline_ms":9999999999999})",
       ProtocolErrorCode::kOutOfRange, "/deadline_ms"},
      {"{" + ticket + R"("service":"s","key":1,"ask":)" +
           std::string(100, '[') + std::string(100, ']') + "}",
       ProtocolErrorCode::kTooDeep, ""},
      {std::string(300u << 10, ' '), ProtocolErrorCode::kTooLarge, ""},
  };
  for (const Row& row : rows) {
    INFO(row.body.substr(0, 100));
    const state::Result<state::Action, ProtocolError> action =
        DecodeAction(row.body);
    REQUIRE(!state::IsOk(action));
    CHECK(NameOf(state::ErrorOf(action).code) == NameOf(row.code));
    CHECK(state::ErrorOf(action).pointer == row.pointer);
  }
}

TEST_CASE("DecodeTicketRequest requires service and key") {
  const state::Result<TicketRequest, ProtocolError> request =
      DecodeTicketRequest(R"({"service":"swipes","key":7})");
  REQUIRE(state::IsOk(request));
  CHECK(state::ValueOf(request).service == state::ServiceId("swipes"));
  CHECK(state::ValueOf(request).key == 7);
  CHECK(!state::IsOk(DecodeTicketRequest(R"({"service":"swipes"})")));
  CHECK(!state::IsOk(DecodeTicketRequest(R"({"key":7})")));
}

TEST_CASE("Action replies and tickets are encoded as JSON") {
  const HttpResponse ok =
      EncodeActionReply({state::Outcome::kOk, "", {{7, R"({"left":3})"}}, {}});
  CHECK(ok.status == 200);
  CHECK(
      nlohmann::json::parse(ok.body) ==
      nlohmann::json::parse(R"({"outcome":"ok","records":[[7,{"left":3}]]})"));
  const HttpResponse refused = EncodeActionReply(
      {state::Outcome::kNotRun, "busy", {}, state::Milliseconds(1'000)});
  CHECK(refused.status == 503);
  CHECK(refused.retry_after == state::Milliseconds(1'000));
  CHECK(nlohmann::json::parse(refused.body) ==
        nlohmann::json::parse(
            R"({"outcome":"not_run","reason":"busy","records":[]})"));
  const state::Ticket ticket = *state::TicketFromText(kTicketText);
  CHECK(nlohmann::json::parse(
            EncodeTicket(ticket, state::Milliseconds(120'000)).body) ==
        nlohmann::json({{"ticket", kTicketText}, {"valid_ms", 120'000}}));
}

}  // namespace
}  // namespace banyanknot::protocol
