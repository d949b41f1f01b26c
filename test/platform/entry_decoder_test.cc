#include "platform/entry_decoder.h"

#include <rapidcheck.h>

#include <boost/beast/core/detail/base64.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "banyanknot/protocol/key_digest.h"

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

/// Returns the example routes with workspaces.
std::string RoutesWithWorkspaces(const json& workspaces) {
  json document = json::parse(kRoutes);
  document["Routes"][0]["AuthExempt"] = true;
  document["Routes"][1]["AuthExempt"] = false;
  document["Tenants"] = workspaces;
  return document.dump();
}

json WorkspaceJson(const char* name, const json& keys) {
  return {{"Name", name}, {"ApiKeys", keys}};
}

TEST_CASE("DecodeRoutes reads workspaces, their keys and quotas") {
  json farm = WorkspaceJson("farm", {"secret-1", "secret-2"});
  farm["Priority"] = 1;
  farm["RatePerS"] = 7.5;
  farm["Burst"] = 12;
  const coordination::RoutingChange change = DecodeRoutes(RoutesWithWorkspaces(
      json::array({farm, WorkspaceJson("idle", json::array())})));
  const state::RouteTablePtr* table =
      std::get_if<state::RouteTablePtr>(&change);
  REQUIRE(table != nullptr);
  CHECK((*table)->RequiresKeys());
  CHECK((*table)->Workspaces().size() == 2);
  CHECK_FALSE((*table)->Match("a.example", "/all/")->needs_key);
  CHECK((*table)->Match("a.example", "/one/")->needs_key);
  const state::WorkspacePtr found =
      (*table)->FindWorkspace(protocol::DigestOfKey("secret-2"));
  REQUIRE(found != nullptr);
  CHECK(found->id.Text() == "farm");
  CHECK(found->priority == 1u);
  CHECK(found->quota == state::Quota{7.5, 12});
  CHECK((*table)->FindWorkspace(protocol::DigestOfKey("secret")) == nullptr);
  CHECK((*table)->FindWorkspace(state::KeyDigest("secret-1")) == nullptr);
}

TEST_CASE("Routes without workspaces require no keys") {
  const coordination::RoutingChange change = DecodeRoutes(kRoutes);
  CHECK_FALSE(std::get<state::RouteTablePtr>(change)->RequiresKeys());
}

TEST_CASE("Bad workspaces make the whole version unreadable") {
  json without_name = WorkspaceJson("x", {"a"});
  without_name.erase("Name");
  json absurd = WorkspaceJson("x", {"a"});
  absurd["RatePerS"] = 1e300;
  json negative = WorkspaceJson("x", {"a"});
  negative["Burst"] = -1;
  json text = WorkspaceJson("x", {"a"});
  text["RatePerS"] = "8";
  const std::vector<json> rows = {
      json("farm"),
      json::array({1}),
      json::array({without_name}),
      json::array({WorkspaceJson("", {"a"})}),
      json::array({WorkspaceJson("a\r\nb", {"a"})}),
      json::array({WorkspaceJson(" a", {"a"})}),
      json::array({WorkspaceJson("x", "a")}),
      json::array({WorkspaceJson("x", {1})}),
      json::array({WorkspaceJson("x", {""})}),
      json::array({absurd}),
      json::array({negative}),
      json::array({text}),
      json::array({WorkspaceJson("x", {"a"}), WorkspaceJson("x", {"b"})}),
      json::array({WorkspaceJson("x", {"a"}), WorkspaceJson("y", {"b", "a"})}),
  };
  for (const json& row : rows) {
    INFO(row.dump());
    CHECK(std::holds_alternative<coordination::UnreadableEntry>(
        DecodeRoutes(RoutesWithWorkspaces(row))));
  }
}

std::string Base64Of(const std::string& bytes) {
  namespace base64 = boost::beast::detail::base64;
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

TEST_CASE("What is passed to other hosts holds digests in place of keys") {
  const std::string routes = RoutesWithWorkspaces(
      json::array({WorkspaceJson("farm", {"secret-1", "secret-2"})}));
  const json item = {
      {"Key", "op/config"}, {"Value", Base64Of(routes)}, {"Revision", 9u}};
  const std::optional<coordination::EncodedChange> encoded = EncodeItem(item);
  REQUIRE(encoded);
  CHECK(encoded->revision == 9);
  const std::optional<coordination::RoutingChange> decoded =
      ItemDecoder().Decode(*encoded);
  REQUIRE(decoded);
  const state::RouteTablePtr* table =
      std::get_if<state::RouteTablePtr>(&*decoded);
  REQUIRE(table != nullptr);
  CHECK((*table)->FindWorkspace(protocol::DigestOfKey("secret-1")) != nullptr);
  const std::string passed_value = json::parse(encoded->text)["Value"];
  for (const char* secret : {"secret-1", "secret-2"}) {
    CHECK(passed_value.find(Base64Of(secret)) == std::string::npos);
  }
  namespace base64 = boost::beast::detail::base64;
  std::string plain(base64::decoded_size(passed_value.size()), '\0');
  base64::decode(plain.data(), passed_value.data(), passed_value.size());
  CHECK(plain.find("secret") == std::string::npos);
  CHECK(plain.find("ApiKeys") == std::string::npos);
}

TEST_CASE("Routes that can't be read are passed on without their content") {
  for (const std::string& text :
       {std::string(R"({"Tenants":[{"ApiKeys":["secret-1"]}]")"),
        std::string(R"([{"ApiKeys":["secret-1"]}])")}) {
    const std::optional<coordination::EncodedChange> encoded =
        EncodeItem({{"Key", "op/config"}, {"Value", Base64Of(text)}});
    REQUIRE(encoded);
    CHECK(json::parse(encoded->text)["Value"] == "");
  }
  const std::string odd = R"({"Version":1,"Tenants":"secret-1"})";
  const std::optional<coordination::EncodedChange> encoded =
      EncodeItem({{"Key", "op/config"}, {"Value", Base64Of(odd)}});
  REQUIRE(encoded);
  const std::optional<coordination::RoutingChange> decoded =
      ItemDecoder().Decode(*encoded);
  REQUIRE(decoded);
  CHECK(std::holds_alternative<coordination::UnreadableEntry>(*decoded));
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

TEST_CASE("Entries with nonsensical values are unreadable") {
  struct Row {
    const char* member;
    json value;
  };
  const std::vector<Row> rows = {
      {"Slots", 1e300},
      {"Slots", 2.5},
      {"Slots", -1e300},
      {"Slots", 18446744073709551615ULL},
      {"WarmupLeftMs", 1e300},
      {"WarmupLeftMs", 9e18},
      {"WarmupLeftMs", -1},
      {"WarmupLeftMs", -1e300},
      {"born", 1e300},
      {"born", -5},
      {"born", 0.5},
      {"Address", "10.0.0.9:0"},
      {"Address", "10.0.0.9:65536"},
      {"Address", "10.0.0.9:99999999999999999999"},
      {"Address", "10.0.0.9:-1"},
      {"Address", "999.1.1.1:80"},
      {"Address", "0.0.0.0:80"},
      {"Address", "host.example:80"},
      {"Service", std::string(5'000, 's')},
  };
  const json valid_entry = json::parse(kServer);
  for (const Row& row : rows) {
    json entry = valid_entry;
    entry[row.member] = row.value;
    INFO(entry.dump());
    const coordination::RoutingChange change =
        DecodeServer("i-1", entry.dump());
    const coordination::UnreadableEntry* unreadable =
        std::get_if<coordination::UnreadableEntry>(&change);
    REQUIRE(unreadable != nullptr);
    REQUIRE(unreadable->server);
    CHECK(unreadable->server->Text() == "i-1");
  }
}

TEST_CASE("A deeply nested entry is unreadable") {
  const std::string deep =
      std::string(200'000, '[') + std::string(200'000, ']');
  json entry = json::parse(kServer);
  std::string text = entry.dump();
  text.insert(text.size() - 1, ",\"Extra\":" + deep);
  CHECK(std::holds_alternative<coordination::UnreadableEntry>(
      DecodeServer("i-1", text)));
  CHECK(std::holds_alternative<coordination::UnreadableEntry>(
      DecodeRoutes(deep)));
}

TEST_CASE("A server id that can't stand in a header is refused") {
  for (const std::string id :
       {std::string(), std::string("a b"), std::string("a\r\nX: y"),
        std::string("a\0b", 3), std::string("\xc3\xa9")}) {
    CHECK(std::holds_alternative<coordination::UnreadableEntry>(
        DecodeServer(id, kServer)));
  }
}

TEST_CASE("Limits that operators set too high count as the highest") {
  json document = json::parse(kRoutes);
  document["Routes"][0]["TimeoutMs"] = 1e300;
  document["Routes"][0]["Priority"] = 1e300;
  document["Routes"][0]["MaxAttempts"] = 1e300;
  document["Services"][0]["MaxConns"] = 1e300;
  document["Services"][0]["WarmupS"] = 1e300;
  document["Limits"]["IdleTimeoutMs"] = 1e300;
  document["Limits"]["MaxBodyBytes"] = 1e300;
  const coordination::RoutingChange change = DecodeRoutes(document.dump());
  const state::RouteTablePtr* table =
      std::get_if<state::RouteTablePtr>(&change);
  REQUIRE(table != nullptr);
  const state::Duration day = state::Milliseconds(86'400'000);
  const state::Route& route = (*table)->Routes().front();
  CHECK(route.timeout == day);
  CHECK(route.priority == 1'000'000);
  CHECK(route.max_attempts == 1'000'000);
  const state::ServiceSpec* service =
      (*table)->FindService(state::ServiceId("d"));
  REQUIRE(service != nullptr);
  CHECK(service->max_connections == 1'000'000);
  CHECK(service->warm_up == day);
  CHECK((*table)->Limits().idle_timeout == day);
  CHECK((*table)->Limits().max_body_bytes == 1'000'000'000);
  document["Routes"][0]["TimeoutMs"] = -1e300;
  CHECK(std::holds_alternative<coordination::UnreadableEntry>(
      DecodeRoutes(document.dump())));
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
  CHECK(rc::check([](const std::string& bytes) {
    DecodeServer("i", bytes);
    DecodeRoutes(bytes);
    json item;
    item["Key"] = "servers/i";
    item["Value"] = json(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
    DecodeItem(item);
    DecodeItem(json(static_cast<int>(bytes.size())));
  }));
}

}  // namespace
}  // namespace banyanknot::platform
