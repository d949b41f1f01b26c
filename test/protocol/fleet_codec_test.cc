#include "banyanknot/protocol/fleet_codec.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "banyanknot/protocol/hop_headers.h"

namespace banyanknot::protocol {
namespace {

using nlohmann::json;

state::HostAdvert ExampleAdvert() {
  state::HostAdvert advert;
  advert.id = state::HostId("front-1");
  advert.domain = state::FailureDomainId("a");
  advert.endpoint = {"10.0.0.9", 8106};
  advert.cores = 0.12;
  advert.takes_work = true;
  advert.age = state::Milliseconds(1'234);
  return advert;
}

TEST_CASE("Adverts are read as they were written") {
  const state::Result<std::vector<state::HostAdvert>, ProtocolError> decoded =
      DecodeAdverts(EncodeAdverts({ExampleAdvert()}));
  REQUIRE(state::IsOk(decoded));
  REQUIRE(state::ValueOf(decoded).size() == 1);
  const state::HostAdvert& advert = state::ValueOf(decoded).front();
  CHECK(advert.id.Text() == "front-1");
  CHECK(advert.domain.Text() == "a");
  CHECK(advert.endpoint == state::Endpoint{"10.0.0.9", 8106});
  CHECK(advert.cores == Approx(0.12));
  CHECK(advert.takes_work);
  CHECK(advert.age == state::Milliseconds(1'234));
}

TEST_CASE("Adverts with an odd member are refused") {
  const json valid =
      json::parse(EncodeAdverts({ExampleAdvert()}))["adverts"][0];
  struct Row {
    const char* member;
    json value;
  };
  for (const Row& row : std::vector<Row>{{"id", ""},
                                         {"id", std::string(200, 'x')},
                                         {"domain", 7},
                                         {"endpoint", "10.0.0.9"},
                                         {"endpoint", "10.0.0.9:0"},
                                         {"endpoint", "10.0.0.9:70000"},
                                         {"milli_cores", -1},
                                         {"milli_cores", 1e300},
                                         {"age_ms", -5},
                                         {"age_ms", 9e18},
                                         {"takes_work", "yes"}}) {
    json advert = valid;
    advert[row.member] = row.value;
    INFO(advert.dump());
    CHECK_FALSE(state::IsOk(DecodeAdverts(json{{"adverts", {advert}}}.dump())));
  }
  json many = json::array();
  for (std::size_t index = 0; index <= kMaxAdverts; ++index) {
    many.push_back(valid);
  }
  CHECK_FALSE(state::IsOk(DecodeAdverts(json{{"adverts", many}}.dump())));
  CHECK_FALSE(state::IsOk(DecodeAdverts(std::string(100'000, '['))));
}

TEST_CASE("The delegation header is taken off as it was added") {
  HttpRequest request;
  request.headers = {{"Host", "h"}};
  AddDelegationHeader({9, state::Milliseconds(3), state::Milliseconds(17)},
                      request);
  const state::Result<DelegationHeader, ProtocolErrorCode> taken =
      TakeDelegationHeader(request);
  REQUIRE(state::IsOk(taken));
  CHECK(state::ValueOf(taken).routes_version == 9);
  CHECK(state::ValueOf(taken).elapsed == state::Milliseconds(3));
  CHECK(state::ValueOf(taken).outside_time == state::Milliseconds(17));
  CHECK(request.headers.size() == 1);
  const state::Result<DelegationHeader, ProtocolErrorCode> again =
      TakeDelegationHeader(request);
  REQUIRE_FALSE(state::IsOk(again));
  CHECK(state::ErrorOf(again) == ProtocolErrorCode::kMissing);
}

TEST_CASE("A delegation names the workspace and its priority") {
  HttpRequest request;
  AddDelegationHeader({9, {}, {}, state::WorkspaceId("farm"), 3}, request);
  const state::Result<DelegationHeader, ProtocolErrorCode> taken =
      TakeDelegationHeader(request);
  REQUIRE(state::IsOk(taken));
  CHECK(state::ValueOf(taken).workspace.Text() == "farm");
  CHECK(state::ValueOf(taken).priority == 3u);
  CHECK(request.headers.empty());
  AddDelegationHeader({9, {}, {}, state::WorkspaceId("farm"), {}}, request);
  request.headers.push_back({"Banyanknot-Priority", "-1"});
  CHECK_FALSE(state::IsOk(TakeDelegationHeader(request)));
}

TEST_CASE("A caller's own delegation headers don't replace the host's") {
  HttpRequest request;
  request.headers = {{"banyanknot-workspace", "forged"},
                     {"Banyanknot-Priority", "0"},
                     {"Banyanknot-Elapsed-Us", "0"}};
  AddDelegationHeader({9, state::Milliseconds(3), {}}, request);
  const state::Result<DelegationHeader, ProtocolErrorCode> taken =
      TakeDelegationHeader(request);
  REQUIRE(state::IsOk(taken));
  CHECK(state::ValueOf(taken).workspace.IsEmpty());
  CHECK_FALSE(state::ValueOf(taken).priority);
  CHECK(state::ValueOf(taken).elapsed == state::Milliseconds(3));
}

TEST_CASE("A caller can't name the workspace and priority of a delegation") {
  for (const bool has_workspace : {true, false}) {
    INFO("has a workspace: " << has_workspace);
    HttpRequest request;
    request.headers = {{"banyanknot-workspace", "other"},
                       {"Banyanknot-Priority", "0"}};
    DelegationHeader delegation{9, {}, {}, {}, {}};
    if (has_workspace) {
      delegation.workspace = state::WorkspaceId("farm");
      delegation.priority = 3;
    }
    AddDelegationHeader(delegation, request);
    const state::Result<DelegationHeader, ProtocolErrorCode> taken =
        TakeDelegationHeader(request);
    REQUIRE(state::IsOk(taken));
    CHECK(state::ValueOf(taken).workspace.Text() ==
          delegation.workspace.Text());
    CHECK(state::ValueOf(taken).priority == delegation.priority);
  }
}

TEST_CASE("A caller can't change or break a delegation by its headers") {
  for (const char* name : {"Banyanknot-Hop", "Banyanknot-Routes-Version",
                           "Banyanknot-Elapsed-Us", "Banyanknot-Outside-Us"}) {
    INFO(name);
    HttpRequest request;
    request.headers = {{name, "7"}};
    AddDelegationHeader({9, state::Milliseconds(3), state::Milliseconds(17)},
                        request);
    const state::Result<DelegationHeader, ProtocolErrorCode> taken =
        TakeDelegationHeader(request);
    CHECK(state::IsOk(taken));
    if (!state::IsOk(taken)) continue;
    CHECK(state::ValueOf(taken).routes_version == 9);
    CHECK(state::ValueOf(taken).elapsed == state::Milliseconds(3));
    CHECK(state::ValueOf(taken).outside_time == state::Milliseconds(17));
  }
}

TEST_CASE("A delegation of another version or with odd numbers is malformed") {
  for (const char* name : {"Banyanknot-Hop", "Banyanknot-Routes-Version",
                           "Banyanknot-Elapsed-Us", "Banyanknot-Outside-Us"}) {
    for (const char* value : {"2x", "-1", "99999999999999999999999", "9e9"}) {
      HttpRequest request;
      AddDelegationHeader({9, {}, {}}, request);
      RemoveHeader(request.headers, name);
      request.headers.push_back({name, value});
      INFO(name << ": " << value);
      const state::Result<DelegationHeader, ProtocolErrorCode> taken =
          TakeDelegationHeader(request);
      REQUIRE_FALSE(state::IsOk(taken));
      CHECK(state::ErrorOf(taken) == ProtocolErrorCode::kMalformed);
    }
  }
}

TEST_CASE("Passed changes and requests for them name the source's position") {
  coordination::PassedChanges passed;
  passed.position = {12, 3};
  passed.changes = {{"a", "text", false, 11}};
  const state::Result<coordination::PassedChanges, ProtocolError> read =
      DecodePassedChanges(EncodePassedChanges(passed));
  REQUIRE(state::IsOk(read));
  CHECK(state::ValueOf(read).position == passed.position);
  CHECK(state::ValueOf(read).changes.front().revision == 11);
  for (const state::SourcePosition& after :
       {state::SourcePosition{7, 0}, {7, 3}}) {
    const std::optional<ChangesQuery> query = DecodeChangesTarget(
        EncodeChangesTarget({false, after, state::Milliseconds(900)}));
    REQUIRE(query);
    CHECK(query->after == after);
    CHECK(query->wait == state::Milliseconds(900));
  }
}

TEST_CASE("Passed changes of hosts that know no eras are read") {
  const state::Result<coordination::PassedChanges, ProtocolError> read =
      DecodePassedChanges(R"({"revision":12,"age_ms":5,"changes":[]})");
  REQUIRE(state::IsOk(read));
  CHECK(state::ValueOf(read).position == state::SourcePosition{12, 0});
  CHECK(EncodeChangesTarget({false, {7, 0}, state::Milliseconds(900)}) ==
        std::string(kChangesPath) + "?after=7&wait_ms=900");
  const std::string target = std::string(kChangesPath) + "?after=7&wait_ms=9";
  for (const char* tail :
       {"&era=", "&era=x", "&era=-1", "&era=1&era=2", "&era=1&more=2"}) {
    CHECK_FALSE(DecodeChangesTarget(target + tail));
  }
}

TEST_CASE("Decoding arbitrary adverts never ends the process") {
  CHECK(rc::check([](const std::string& bytes) { DecodeAdverts(bytes); }));
}

}  // namespace
}  // namespace banyanknot::protocol
