#include "banyanknot/coordination/catalogue_rules.h"

#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

namespace banyanknot::coordination {
namespace {

state::ServiceEntry ValidService() {
  state::ServiceEntry service;
  service.id = state::ServiceId("plans");
  service.owner = "agronomy";
  for (int index = 0; index < 3; ++index) {
    state::ServerEntry server;
    server.id = state::ServerId("s" + std::to_string(index));
    server.domain = state::FailureDomainId("north");
    server.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(9000 + index)};
    server.slots = 2;
    service.servers.push_back(server);
  }
  service.shards = {
      {1, {0, 50}, {state::ServerId("s0"), state::ServerId("s1")}},
      {2, {50, 100}, {state::ServerId("s2")}}};
  service.key_space = {0, 100};
  return service;
}

struct Case {
  const char* pointer;
  std::function<void(state::ServiceEntry&)> invalidate;
};

TEST_CASE("CheckContent accepts a valid service, failure domain and policy") {
  CHECK(CheckContent(ValidService()).empty());
  state::FailureDomainEntry domain;
  domain.id = state::FailureDomainId("north");
  domain.owner = "operators";
  CHECK(CheckContent(domain).empty());
  state::FleetPolicy policy;
  policy.owner = "operators";
  CHECK(CheckContent(policy).empty());
}

TEST_CASE("CheckContent reports each fault of a service") {
  using Service = state::ServiceEntry;
  const std::vector<Case> cases{
      {"/owner", [](Service& s) { s.owner.clear(); }},
      {"/id", [](Service& s) { s.id = state::ServiceId(); }},
      {"/shards", [](Service& s) { s.shards.clear(); }},
      {"/shards/1/begin", [](Service& s) { s.shards[1].range.begin = 51; }},
      {"/shards/1/begin", [](Service& s) { s.shards[1].range.begin = 49; }},
      {"/shards/0/end",
       [](Service& s) {
         s.shards[0].range = {50, 50};
       }},
      {"/shards/1/id", [](Service& s) { s.shards[1].id = 1; }},
      {"/shards/1/replicas", [](Service& s) { s.shards[1].replicas.clear(); }},
      {"/shards/1/replicas/0",
       [](Service& s) { s.shards[1].replicas[0] = state::ServerId("s9"); }},
      {"/shards/0/replicas/1",
       [](Service& s) { s.shards[0].replicas[1] = state::ServerId("s0"); }},
      {"/servers/2/id",
       [](Service& s) { s.servers[2].id = state::ServerId("s1"); }},
      {"/servers/1/port",
       [](Service& s) { s.servers[1].endpoint.port = 9000; }},
      {"/servers/1/port", [](Service& s) { s.servers[1].endpoint.port = 0; }},
      {"/servers/1/address",
       [](Service& s) { s.servers[1].endpoint.address.clear(); }},
      {"/servers/0/slots", [](Service& s) { s.servers[0].slots = 0; }},
      {"/servers/0/cold_slots",
       [](Service& s) { s.servers[0].cold_slots = 3; }},
      {"/servers/0/cold_slots",
       [](Service& s) { s.servers[0].cold_slots = 0; }},
      {"/servers/0/connections",
       [](Service& s) { s.servers[0].connections = 0; }},
      {"/servers/0/domain",
       [](Service& s) { s.servers[0].domain = state::FailureDomainId(); }},
      {"/limits/max_in_flight", [](Service& s) { s.limits.max_in_flight = 0; }},
      {"/limits/default_deadline_ms",
       [](Service& s) { s.limits.max_deadline = state::Milliseconds(1); }},
      {"/limits/coverage_floor",
       [](Service& s) { s.limits.min_coverage = 1.5; }},
      {"/limits/coverage_floor",
       [](Service& s) { s.limits.min_coverage = 0.9; }},
  };
  for (const Case& item : cases) {
    state::ServiceEntry service = ValidService();
    item.invalidate(service);
    const std::vector<EntryFault> faults = CheckContent(service);
    INFO(item.pointer);
    REQUIRE_FALSE(faults.empty());
    bool is_reported = false;
    for (const EntryFault& fault : faults) {
      is_reported = is_reported || fault.pointer == item.pointer;
    }
    CHECK(is_reported);
  }
}

TEST_CASE("CheckContent reports each fault of a fleet policy") {
  struct PolicyCase {
    const char* pointer;
    std::function<void(state::FleetPolicy&)> invalidate;
  };
  using Policy = state::FleetPolicy;
  const std::vector<PolicyCase> cases{
      {"/owner", [](Policy& p) { p.owner.clear(); }},
      {"/hedge_quantile", [](Policy& p) { p.hedge_quantile = 1.0; }},
      {"/hedge_budget", [](Policy& p) { p.hedge_budget = -0.1; }},
      {"/retry_budget", [](Policy& p) { p.retry_budget = 1.1; }},
      {"/leave_grace_ms",
       [](Policy& p) { p.leave_grace = state::Milliseconds(-1); }},
      {"/stop_bound_ms", [](Policy& p) { p.stop_timeout = p.leave_grace; }},
  };
  for (const PolicyCase& item : cases) {
    state::FleetPolicy policy;
    policy.owner = "operators";
    item.invalidate(policy);
    const std::vector<EntryFault> faults = CheckContent(policy);
    INFO(item.pointer);
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].pointer == item.pointer);
  }
}

}  // namespace
}  // namespace banyanknot::coordination
