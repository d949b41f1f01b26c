#include "platform/routes_document_reader.h"

#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace banyanknot::platform {
namespace {

using coordination::RouteItem;
using coordination::RouteMember;
using nlohmann::json;

json SoundDocument() {
  return json::parse(R"({"Version": 7,
    "Routes": [
      {"Name": "one", "Host": "a.example", "Prefix": "/a/", "Service": "s",
       "RouteType": "idempotent", "ObjectiveMs": 100, "TimeoutMs": 400,
       "MaxAttempts": 2},
      {"Name": "some", "Host": "a.example", "Prefix": "/b/",
       "Backends": [{"Service": "s", "Weight": 1},
                    {"Service": "t", "Weight": 1}],
       "RouteType": "idempotent", "ObjectiveMs": 100, "TimeoutMs": 400,
       "MaxAttempts": 2},
      {"Name": "all", "Host": "a.example", "Prefix": "/c/",
       "Gather": ["s", "t"], "TopK": 5, "MinCoverage": 0.9,
       "RouteType": "idempotent", "ObjectiveMs": 100, "TimeoutMs": 400,
       "MaxAttempts": 2}],
    "Services": [
      {"Name": "s", "HealthPath": "/health", "MaxConns": 4},
      {"Name": "t", "HealthPath": "/health", "MaxConns": 4}],
    "Tenants": [{"Name": "farm", "ApiKeys": ["secret-1"]},
                {"Name": "office", "ApiKeys": ["secret-2"]}]})");
}

TEST_CASE("Places of a document are JSON pointers that exist in it") {
  const json document = SoundDocument();
  coordination::RoutesDocumentResult result =
      RoutesDocumentReader().Read(document.dump());
  REQUIRE(state::IsOk(result));
  const std::unique_ptr<coordination::RoutesDocument> routes =
      state::TakeValue(std::move(result));
  CHECK(routes->Table().Version() == 7);
  struct Row {
    coordination::RoutePlace place;
    std::string pointer;
  };
  const std::vector<Row> rows = {
      {{RouteItem::kTable, 0, RouteMember::kVersion}, "/Version"},
      {{RouteItem::kTable}, ""},
      {{RouteItem::kRoute, 1}, "/Routes/1"},
      {{RouteItem::kRoute, 0, RouteMember::kName}, "/Routes/0/Name"},
      {{RouteItem::kRoute, 0, RouteMember::kPrefix}, "/Routes/0/Prefix"},
      {{RouteItem::kRoute, 0, RouteMember::kSplit}, "/Routes/0/Service"},
      {{RouteItem::kRoute, 1, RouteMember::kSplit, 1},
       "/Routes/1/Backends/1/Service"},
      {{RouteItem::kRoute, 1, RouteMember::kWeight, 1},
       "/Routes/1/Backends/1/Weight"},
      {{RouteItem::kRoute, 2, RouteMember::kShard, 1}, "/Routes/2/Gather/1"},
      {{RouteItem::kRoute, 2, RouteMember::kTopK}, "/Routes/2/TopK"},
      {{RouteItem::kRoute, 2, RouteMember::kMinCoverage},
       "/Routes/2/MinCoverage"},
      {{RouteItem::kRoute, 0, RouteMember::kMaxAttempts},
       "/Routes/0/MaxAttempts"},
      {{RouteItem::kRoute, 0, RouteMember::kTimeout}, "/Routes/0/TimeoutMs"},
      {{RouteItem::kService, 1, RouteMember::kName}, "/Services/1/Name"},
      {{RouteItem::kWorkspace, 1, RouteMember::kKeys}, "/Tenants/1/ApiKeys"},
  };
  for (const Row& row : rows) {
    CHECK(routes->PointerTo(row.place) == row.pointer);
    CHECK(document.contains(json::json_pointer(row.pointer)));
  }
}

TEST_CASE("The first fault of a document is told with its place") {
  struct Row {
    std::string pointer;
    std::function<void(json&)> spoil;
  };
  const std::vector<Row> rows = {
      {"/Version", [](json& all) { all["Version"] = "7"; }},
      {"/Routes", [](json& all) { all.erase("Routes"); }},
      {"/Routes/1", [](json& all) { all["Routes"][1] = 5; }},
      {"/Routes/0/TimeoutMs",
       [](json& all) { all["Routes"][0]["TimeoutMs"] = -1; }},
      {"/Routes/1/Backends/1/Weight",
       [](json& all) { all["Routes"][1]["Backends"][1]["Weight"] = -1; }},
      {"/Routes/1/Backends/0",
       [](json& all) { all["Routes"][1]["Backends"][0] = "s"; }},
      {"/Routes/2/Gather/1",
       [](json& all) { all["Routes"][2]["Gather"][1] = 3; }},
      {"/Routes/2/MinCoverage",
       [](json& all) { all["Routes"][2]["MinCoverage"] = 1.5; }},
      {"/Services/1", [](json& all) { all["Services"][1] = "t"; }},
      {"/Services/1/MaxConns",
       [](json& all) { all["Services"][1].erase("MaxConns"); }},
      {"/Tenants/1", [](json& all) { all["Tenants"][1]["Name"] = "farm"; }},
      {"/Tenants/1",
       [](json& all) { all["Tenants"][1]["ApiKeys"] = {"secret-1"}; }},
      {"/Tenants/0/ApiKeys",
       [](json& all) { all["Tenants"][0]["ApiKeys"] = {5}; }},
      {"/Limits/MaxHeaderBytes",
       [](json& all) {
         all["Limits"] = {{"MaxHeaderBytes", "x"}};
       }},
  };
  for (const Row& row : rows) {
    json document = SoundDocument();
    row.spoil(document);
    INFO(row.pointer);
    const coordination::RoutesDocumentResult result =
        RoutesDocumentReader().Read(document.dump());
    REQUIRE_FALSE(state::IsOk(result));
    CHECK(state::ErrorOf(result).pointer == row.pointer);
    CHECK(state::ErrorOf(result).reason.find("secret") == std::string::npos);
  }
  CHECK_FALSE(state::IsOk(RoutesDocumentReader().Read("[]")));
  CHECK_FALSE(state::IsOk(RoutesDocumentReader().Read("\x01\xff")));
}

}  // namespace
}  // namespace banyanknot::platform
