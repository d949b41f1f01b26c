#include "platform/entry_decoder.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>

namespace banyanknot::platform {
namespace {

using nlohmann::json;

const char* const kRoutes = R"({"Version":7,"Routes":[
  {"Name":"all","Host":"A.example","Prefix":"/all/","RouteType":"idempotent",
   "TimeoutMs":400,"ObjectiveMs":60,"Priority":2,"Gather":["s1","s2"],
   "MaxAttempts":2,"TopK":5,"MinCoverage":0.75},
  {"Name":"one","Host":"a.example","Prefix":"/one/",
   "RouteType":"non_idempotent","TimeoutMs":4000,"ObjectiveMs":600,
   "Priority":2,"Service":"d","MaxAttempts":1},
  {"Name":"two","Host":"a.example","Prefix":"/one/two/",
   "RouteType":"idempotent","TimeoutMs":4000,"ObjectiveMs":600,"Priority":2,
   "Backends":[{"Service":"d","Weight":3},{"Service":"e","Weight":1}],
   "MaxAttempts":1}],
 "Services":[{"Name":"d","HealthPath":"/health","MaxConns":26,"Protocol":"h1",
   "Tls":false,"WarmupS":3.0,"WarmupPerS":0.0}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,
   "HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

const char* const kServer =
    R"({"Service":"d","Address":"10.0.0.9:8080","Zone":"z","Version":"v1",
        "Slots":2,"State":"ready","WarmupLeftMs":1500,"Sequence":4,
        "born":1787274835021})";

TEST_CASE("DecodeRoutes builds the route table") {
  const coordination::RoutingChange change = DecodeRoutes(kRoutes);
  const state::RouteTablePtr* table =
      std::get_if<state::RouteTablePtr>(&change);
  REQUIRE(table != nullptr);
  CHECK((*table)->Version() == 7);
  CHECK((*table)->Limits().max_body_bytes == 262144);
  const state::Route* all = (*table)->Match("a.EXAMPLE:80", "/all/x/y");
  REQUIRE(all != nullptr);
  CHECK(all->IsGather());
  CHECK(all->is_idempotent);
  CHECK(all->top_k == 5);
  CHECK(all->min_coverage == 0.75);
  CHECK(all->objective == state::Milliseconds(60));
  const state::Route* one = (*table)->Match("a.example", "/one/x");
  REQUIRE(one != nullptr);
  CHECK_FALSE(one->is_idempotent);
  const state::Route* two = (*table)->Match("a.example", "/one/two/");
  REQUIRE(two != nullptr);
  CHECK(two->name == "two");
  REQUIRE(two->split.size() == 2);
  CHECK(two->split[0].weight == 3);
  CHECK((*table)->Match("b.example", "/one/x") == nullptr);
  CHECK((*table)->Match("a.example", "/one") == nullptr);
  REQUIRE((*table)->FindService(state::ServiceId("d")) != nullptr);
  CHECK((*table)->FindService(state::ServiceId("d"))->max_connections == 26);
}

TEST_CASE("DecodeServer reads the registration of a server") {
  const coordination::RoutingChange change = DecodeServer("i-1", kServer);
  const state::RegisteredServer* server =
      std::get_if<state::RegisteredServer>(&change);
  REQUIRE(server != nullptr);
  CHECK(server->id.Text() == "i-1");
  CHECK(server->endpoint == state::Endpoint{"10.0.0.9", 8080});
  CHECK(server->cold_for == state::Milliseconds(1500));
  CHECK(server->started_unix_ms == 1787274835021);
  CHECK_FALSE(server->is_leaving);
}

TEST_CASE("Entries with a missing or invalid member are unreadable") {
  const json valid_entry = json::parse(kServer);
  for (const char* member : {"Service", "Address", "Zone", "Slots", "State"}) {
    for (const json& bad : {json(), json::array(), json(-1), json("x:y:z")}) {
      if (bad.is_string() && std::string(member) != "Address" &&
          std::string(member) != "Slots" && std::string(member) != "State") {
        continue;
      }
      json entry = valid_entry;
      if (bad.is_null()) {
        entry.erase(member);
      } else {
        entry[member] = bad;
      }
      INFO(entry.dump());
      CHECK(std::holds_alternative<coordination::UnreadableEntry>(
          DecodeServer("i-1", entry.dump())));
    }
  }
  CHECK(std::holds_alternative<coordination::UnreadableEntry>(
      DecodeServer("i-1", "\x01\xff")));
  CHECK(std::holds_alternative<coordination::UnreadableEntry>(
      DecodeRoutes(R"({"Version":"7"})")));
}

TEST_CASE("DecodeItem classifies items and deletions by key") {
  const auto decode = [](const char* text) {
    return DecodeItem(json::parse(text));
  };
  const std::optional<coordination::RoutingChange> out =
      decode(R"({"Key":"op/evacuate/z1","Value":"e30=","Revision":3})");
  REQUIRE(out);
  CHECK(std::get<coordination::DomainStateChange>(*out).is_out);
  CHECK(std::get<coordination::DomainStateChange>(*out).domain.Text() == "z1");
  const std::optional<coordination::RoutingChange> back =
      decode(R"({"Key":"op/evacuate/z1","Revision":4,"Deleted":true})");
  REQUIRE(back);
  CHECK_FALSE(std::get<coordination::DomainStateChange>(*back).is_out);
  const std::optional<coordination::RoutingChange> gone =
      decode(R"({"Key":"servers/i-1","Revision":4,"Deleted":true})");
  REQUIRE(gone);
  CHECK(std::get<coordination::ServerRemoval>(*gone).id.Text() == "i-1");
  CHECK_FALSE(decode(R"({"Key":"my/other","Value":"e30=","Revision":4})"));
  const std::optional<coordination::RoutingChange> bad =
      decode(R"({"Key":"servers/i-1","Value":"!!!!","Revision":4})");
  REQUIRE(bad);
  CHECK(std::holds_alternative<coordination::UnreadableEntry>(*bad));
}

TEST_CASE("Decoding arbitrary bytes never ends the process") {
  rc::check([](const std::string& bytes) {
    DecodeServer("i", bytes);
    DecodeRoutes(bytes);
    json item;
    item["Key"] = "servers/i";
    item["Value"] = json(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
    DecodeItem(item);
    DecodeItem(json(static_cast<int>(bytes.size())));
  });
}

}  // namespace
}  // namespace banyanknot::platform
