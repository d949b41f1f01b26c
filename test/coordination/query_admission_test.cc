#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "coordination/query_harness.h"

namespace banyanknot::coordination::testing {
namespace {

using state::Outcome;
using state::ServiceClass;

state::ServiceEntry MakeServiceOfClass(ServiceClass service_class) {
  state::ServiceEntry service = MakeService(10, 1);
  service.id = state::ServiceId(std::string(NameOf(service_class)));
  service.service_class = service_class;
  service.limits.max_in_flight = 100'000;
  return service;
}

/// Runs rounds of queries of each class against simulated servers: while the
/// load is above `capacity`, every query is slow.
class OverloadedHost {
 public:
  explicit OverloadedHost(double capacity)
      : capacity(capacity), admission(clock) {}

  void RunRound(int queries_of_each) {
    std::vector<AdmissionTicket> tickets;
    double load = 0;
    // The lowest class arrives first, which must give it no advantage.
    for (const ServiceClass service_class :
         {ServiceClass::kComparison, ServiceClass::kLatencyFirst,
          ServiceClass::kWhole}) {
      for (int query = 0; query < queries_of_each; ++query) {
        ++this->offered[service_class];
        const AdmissionResult result =
            this->admission.Admit(MakeServiceOfClass(service_class));
        if (!state::IsOk(result)) continue;
        tickets.push_back(state::ValueOf(result));
        load += tickets.back().weight;
        ++this->admitted[service_class];
      }
    }
    const state::Duration elapsed = load > this->capacity
                                        ? state::Milliseconds(200)
                                        : state::Milliseconds(10);
    this->clock.Advance(elapsed);
    for (const AdmissionTicket& ticket : tickets) {
      this->admission.OnFinished(ticket, {Outcome::kOk, elapsed, 0});
    }
  }

  double ShareOf(ServiceClass service_class) {
    return static_cast<double>(this->admitted[service_class]) /
           this->offered[service_class];
  }

  std::map<ServiceClass, int> offered;
  std::map<ServiceClass, int> admitted;

 private:
  double capacity;
  ManualClock clock;
  ClassAdmission admission;
};

TEST_CASE("Overload sheds the lowest class first") {
  OverloadedHost host(400);
  host.RunRound(1);
  for (int round = 0; round < 300; ++round) host.RunRound(30);
  CHECK(host.ShareOf(ServiceClass::kWhole) > 0.95);
  CHECK(host.ShareOf(ServiceClass::kComparison) < 0.25);
  CHECK(host.ShareOf(ServiceClass::kLatencyFirst) >=
        host.ShareOf(ServiceClass::kComparison));
}

TEST_CASE("Without congestion every class is admitted") {
  OverloadedHost host(1e9);
  for (int round = 0; round < 100; ++round) host.RunRound(20);
  for (const state::EnumName<ServiceClass>& row : state::kServiceClassNames) {
    CHECK(host.ShareOf(row.value) == 1);
  }
}

TEST_CASE("A query above its service's limit in flight is refused as not run") {
  QueryHarness harness;
  state::ServiceEntry service = MakeService(2, 1);
  service.limits.max_in_flight = 1;
  Publish(harness.catalogue, service, 1);
  harness.StartQuery(harness.MakeQuery());
  harness.StartQuery(harness.MakeQuery());
  REQUIRE(harness.answers.size() == 1);
  CHECK(harness.answers.front().outcome == Outcome::kNotRun);
  CHECK(harness.answers.front().retry_after.count() > 0);
  CHECK(harness.backend.sent.size() == 2);
  harness.backend.AnswerAll([](const state::SubRequest& request) {
    return MakeValidReply(request, 5);
  });
  harness.StartQuery(harness.MakeQuery());
  CHECK(harness.backend.sent.size() == 4);
}

struct ClassRow {
  std::string situation;
  ServiceClass service_class;
  double service_floor;
  double caller_floor;
  Outcome outcome;
  std::size_t records;
  bool is_before_deadline;
};

TEST_CASE(
    "With one of four shards silent each class applies its coverage rule") {
  const std::vector<ClassRow> rows = {
      {"whole", ServiceClass::kWhole, 0.5, 0, Outcome::kDeadline, 0, false},
      {"comparison, above the minimum coverage", ServiceClass::kComparison, 0.5,
       0, Outcome::kOk, 30, true},
      {"comparison, below the caller's minimum coverage",
       ServiceClass::kComparison, 0.5, 0.9, Outcome::kDeadline, 30, false},
      {"comparison, below the service's minimum coverage",
       ServiceClass::kComparison, 0.9, 0.5, Outcome::kDeadline, 30, false},
      {"latency first, at the minimum coverage", ServiceClass::kLatencyFirst,
       0.75, 0.5, Outcome::kOk, 30, true},
      {"latency first, caller requires full coverage",
       ServiceClass::kLatencyFirst, 0.5, 1, Outcome::kDeadline, 30, false},
  };
  for (const ClassRow& row : rows) {
    INFO(row.situation);
    QueryHarness harness;
    state::ServiceEntry service = MakeService(4, 1);
    service.service_class = row.service_class;
    service.limits.min_coverage = row.service_floor;
    Publish(harness.catalogue, service, 1);
    state::Query query = harness.MakeQuery(state::Milliseconds(200));
    query.min_coverage = row.caller_floor;
    const state::TimePoint deadline =
        harness.clock.Now() + state::Milliseconds(200);
    harness.StartQuery(query);
    const ManualBackend::Call silent = harness.backend.TakeFirst();
    harness.backend.AnswerAll([](const state::SubRequest& request) {
      return MakeValidReply(request, 5);
    });
    harness.timers.RunUntil(deadline - state::Milliseconds(1));
    CHECK(harness.answers.size() == (row.is_before_deadline ? 1 : 0));
    harness.timers.RunUntil(deadline);
    REQUIRE(harness.answers.size() == 1);
    const state::Answer& answer = harness.answers.front();
    CHECK(answer.outcome == row.outcome);
    CHECK(answer.records.size() == row.records);
    CHECK(answer.coverage == static_cast<double>(row.records) / 40);
    silent.handler(BackendFailure::kTimeout);
    CHECK(harness.executor.InFlight() == 0);
  }
}

}  // namespace
}  // namespace banyanknot::coordination::testing
