#include "banyanknot/protocol/json_schema.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "banyanknot/protocol/catalogue_codec.h"

namespace banyanknot::protocol {
namespace {

using nlohmann::json;

json ValidSettings() {
  const json endpoint = {{"address", "127.0.0.1"}, {"port", 1}};
  return {{"id", "h1"},
          {"domain", "d1"},
          {"caller_listen", endpoint},
          {"peer_listen", endpoint},
          {"platform", endpoint}};
}

TEST_CASE("The schema of host settings reports the pointer of each fault") {
  const JsonSchema schema(HostSettingsSchemaText());
  CHECK(schema.Check(ValidSettings()).empty());

  struct Row {
    const char* name;
    json patch;
    const char* pointer;
  };
  const std::vector<Row> rows = {
      {"unknown key", {{"threds", 2}}, ""},
      {"wrong type", {{"domain", 3}}, "/domain"},
      {"out of range", {{"threads", 0}}, "/threads"},
      {"unknown name", {{"policies", "some"}}, "/policies"},
      {"nested fault",
       {{"platform", {{"address", "127.0.0.1"}, {"port", 70000}}}},
       "/platform/port"},
      {"host name in place of an IP address",
       {{"platform", {{"address", "localhost"}, {"port", 1}}}},
       "/platform/address"},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    json settings = ValidSettings();
    settings.update(row.patch);
    const std::vector<coordination::EntryFault> faults = schema.Check(settings);
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].pointer == row.pointer);
    CHECK_FALSE(faults[0].reason.empty());
  }
}

TEST_CASE("CatalogueCodec reports the pointer of a fault") {
  const std::string valid_entry =
      R"({"id":"a","owner":"o","class":"whole",)"
      R"("servers":[{"id":"s","domain":"d","address":"127.0.0.1","port":1}],)"
      R"("shards":[{"id":0,"begin":0,"end":9,"replicas":["s"]}]})";
  const CatalogueCodec codec;
  CHECK(state::IsOk(codec.Decode("service/a", valid_entry)));

  struct Row {
    const char* name;
    std::string key;
    std::string text;
    const char* pointer;
  };
  const std::vector<Row> rows = {
      {"not JSON", "service/a", "{", ""},
      {"key of an unknown kind", "servise/a", valid_entry, ""},
      {"id differs from the key", "service/b", valid_entry, "/id"},
      {"unknown class", "service/a",
       R"({"id":"a","owner":"o","class":"x",)"
       R"("servers":[{"id":"s","domain":"d","address":"1","port":1}],)"
       R"("shards":[{"id":0,"begin":0,"end":9,"replicas":["s"]}]})",
       "/class"},
      {"domain without a state", "domain/d", R"({"id":"d","owner":"o"})", ""},
      {"fraction over 1", "fleet", R"({"owner":"o","hedge_budget":2})",
       "/hedge_budget"},
      {"unknown member", "fleet", R"({"owner":"o","hedge":0.1})", ""},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    const coordination::EntryResult result = codec.Decode(row.key, row.text);
    REQUIRE_FALSE(state::IsOk(result));
    CHECK(state::ErrorOf(result)[0].pointer == row.pointer);
  }
}

}  // namespace
}  // namespace banyanknot::protocol
