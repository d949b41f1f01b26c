#include "banyanknot/coordination/workspace/workspace_guard.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/routing/relay_fixture.h"

namespace banyanknot::coordination::routing_testing {
namespace {

using state::RelayOutcome;

/// Records requests and lets the test answer them.
class RecordingRunner : public RelayRunner {
 public:
  std::uint64_t Run(state::RelayRequest request,
                    RelayAnswerHandler handler) override {
    this->requests.push_back(std::move(request));
    if (this->rejection) {
      RelayAnswer answer;
      answer.outcome = *this->rejection;
      handler(answer);
      return kNoRun;
    }
    this->handlers.push_back(std::move(handler));
    return this->handlers.size();
  }
  void Cancel(std::uint64_t number) override {
    this->cancelled.push_back(number);
  }
  void FinishBy(const StopSchedule& /*schedule*/) override {}

  std::optional<RelayOutcome> rejection;  // of every request, at once
  std::vector<state::RelayRequest> requests;
  std::vector<RelayAnswerHandler> handlers;
  std::vector<std::uint64_t> cancelled;
};

/// Admits or refuses at once, or keeps the handlers for later.
class ScriptedQuotaGate : public QuotaGate {
 public:
  void Acquire(const state::WorkspacePtr& /*workspace*/,
               QuotaHandler handler) override {
    if (this->decision) {
      handler(*this->decision);
    } else {
      this->waiting.push_back(std::move(handler));
    }
  }
  void Refund(const state::WorkspaceId& workspace) override {
    ++this->refunds[workspace.Text()];
  }

  std::optional<QuotaDecision> decision = QuotaDecision();
  std::vector<QuotaHandler> waiting;
  std::map<std::string, int> refunds;
};

class FixedAge : public ConfigurationAge {
 public:
  std::optional<state::Duration> Age(state::TimePoint /*now*/) const override {
    return this->age;
  }
  std::optional<state::Duration> age = Milliseconds(100);
};

struct GuardFixture {
  GuardFixture() {
    state::Workspace farm;
    farm.id = state::WorkspaceId("farm");
    farm.keys = {state::KeyDigest("k1")};
    farm.priority = 3;
    farm.quota = {2, 4};
    state::Workspace office;
    office.id = state::WorkspaceId("office");
    office.keys = {state::KeyDigest("k2")};
    state::Route open = RelayFixture::RelayRoute(true);
    open.name = "open";
    open.prefix = "/open/";
    open.needs_key = false;
    this->Install(std::vector<state::Workspace>{farm, office}, {open});
  }
  void Install(std::optional<std::vector<state::Workspace>> workspaces,
               std::vector<state::Route> routes_in_force) {
    routes_in_force.push_back(RelayFixture::RelayRoute(true));
    this->path = routes_in_force.back().prefix;
    this->host = routes_in_force.back().host;
    this->routes.InstallIfNewer(std::make_shared<const state::RouteTable>(
        ++this->version, std::move(routes_in_force),
        std::vector<state::ServiceSpec>(), state::CallerLimits(),
        std::move(workspaces)));
  }
  std::uint64_t Start(const char* key, std::string target = "") {
    state::RelayRequest request;
    request.id = "r1";
    request.host = this->host;
    request.target = target.empty() ? this->path : std::move(target);
    request.deadline = Milliseconds(500);
    request.received_at = this->time.Now();
    request.identity_headers = {{"Claims", "to be office"}};
    if (key != nullptr) request.key = state::KeyDigest(key);
    return this->guard.Run(
        std::move(request),
        [this](const RelayAnswer& answer) { this->answers.push_back(answer); });
  }

  std::uint64_t version = 0;
  std::string path;
  std::string host;
  fleet_testing::VirtualTime time;
  CodeLog log;
  RouteDirectory routes;
  FixedAge age;
  ScriptedQuotaGate quotas;
  RecordingRunner next;
  RelayJournal journal{log};
  WorkspaceGuard guard{time,   routes, age,    {Milliseconds(5'000), {}},
                       quotas, next,   journal};
  std::vector<RelayAnswer> answers;
};

TEST_CASE("A request runs in the name of the workspace that holds its key") {
  GuardFixture fixture;
  fixture.Start("k1");
  REQUIRE(fixture.next.requests.size() == 1);
  const state::RelayRequest& sent = fixture.next.requests.front();
  CHECK(sent.workspace.Text() == "farm");
  CHECK(sent.priority == 3u);
  CHECK(sent.identity_headers.empty());
  fixture.Start("k2");
  CHECK(fixture.next.requests.back().workspace.Text() == "office");
  CHECK_FALSE(fixture.next.requests.back().priority);
}

TEST_CASE("A request without a known key reaches no runner") {
  GuardFixture fixture;
  for (const char* key : {static_cast<const char*>(nullptr), "k9"}) {
    CHECK(fixture.Start(key) == RelayRunner::kNoRun);
    CHECK(fixture.answers.back().outcome == RelayOutcome::kUnauthorized);
  }
  fixture.age.age.reset();
  CHECK(fixture.Start("k9") == RelayRunner::kNoRun);
  CHECK(fixture.answers.back().outcome == RelayOutcome::kNotRun);
  CHECK(fixture.answers.back().retry_after.count() > 0);
  CHECK(fixture.next.requests.empty());
}

TEST_CASE("A route without keys runs for nobody and hides claims") {
  GuardFixture fixture;
  fixture.Start(nullptr, "/open/1");
  REQUIRE(fixture.next.requests.size() == 1);
  CHECK(fixture.next.requests.front().workspace.IsEmpty());
  CHECK(fixture.next.requests.front().identity_headers.empty());
}

TEST_CASE("Without workspaces a request passes unchanged") {
  GuardFixture fixture;
  fixture.Install(std::nullopt, {});
  const std::uint64_t number = fixture.Start("k9");
  REQUIRE(fixture.next.requests.size() == 1);
  CHECK(fixture.next.requests.front().identity_headers.size() == 1);
  CHECK(fixture.next.requests.front().workspace.IsEmpty());
  fixture.guard.Cancel(number);
  CHECK(fixture.next.cancelled == std::vector<std::uint64_t>{1});
}

TEST_CASE("A key that moves names its new workspace from then on") {
  GuardFixture fixture;
  fixture.Start("k1");
  state::Workspace office;
  office.id = state::WorkspaceId("office");
  office.keys = {state::KeyDigest("k1")};
  fixture.Install(std::vector<state::Workspace>{office}, {});
  fixture.Start("k1");
  fixture.Start("k2");
  REQUIRE(fixture.next.requests.size() == 2);
  CHECK(fixture.next.requests[0].workspace.Text() == "farm");
  CHECK(fixture.next.requests[1].workspace.Text() == "office");
  CHECK(fixture.answers.back().outcome == RelayOutcome::kUnauthorized);
}

TEST_CASE("A request over the quota is refused as not run") {
  GuardFixture fixture;
  fixture.quotas.decision = QuotaDecision{false, Milliseconds(730)};
  fixture.Start("k1");
  REQUIRE(fixture.answers.size() == 1);
  CHECK(fixture.answers.front().outcome == RelayOutcome::kOverQuota);
  CHECK(fixture.answers.front().retry_after == Milliseconds(730));
  CHECK(fixture.next.requests.empty());
  fixture.Start("k2");  // has no quota
  CHECK(fixture.next.requests.size() == 1);
}

TEST_CASE("Credit of a request that reached no server is returned once") {
  struct Row {
    RelayOutcome outcome;
    bool is_proven_not_run;
    int refunds;
  };
  const std::vector<Row> rows = {{RelayOutcome::kNotRun, false, 1},
                                 {RelayOutcome::kAnswered, true, 1},
                                 {RelayOutcome::kAnswered, false, 0},
                                 {RelayOutcome::kWhole, false, 0},
                                 {RelayOutcome::kFailed, false, 0},
                                 {RelayOutcome::kTimedOut, false, 0},
                                 {RelayOutcome::kNotConfigured, false, 1}};
  for (const Row& row : rows) {
    INFO(NameOf(row.outcome));
    GuardFixture fixture;
    fixture.Start("k1");
    RelayAnswer answer;
    answer.outcome = row.outcome;
    answer.reply.is_proven_not_run = row.is_proven_not_run;
    fixture.next.handlers.front()(answer);
    CHECK(fixture.quotas.refunds["farm"] == row.refunds);
    CHECK(fixture.answers.size() == 1);
  }
  GuardFixture fixture;
  fixture.next.rejection = RelayOutcome::kNotRun;
  fixture.Start("k1");
  CHECK(fixture.quotas.refunds["farm"] == 1);
  CHECK(fixture.answers.size() == 1);
}

TEST_CASE("Credit that is long gone is not returned") {
  GuardFixture fixture;
  fixture.Start("k1");
  fixture.time.Advance(Milliseconds(1'500));
  fixture.next.handlers.front()(RelayAnswer());  // not run
  CHECK(fixture.quotas.refunds["farm"] == 0);
}

TEST_CASE("A caller that leaves while its quota is decided runs nothing") {
  GuardFixture fixture;
  fixture.quotas.decision.reset();
  const std::uint64_t number = fixture.Start("k1");
  fixture.guard.Cancel(number);
  fixture.quotas.waiting.front()({});
  CHECK(fixture.next.requests.empty());
  CHECK(fixture.quotas.refunds["farm"] == 1);
  CHECK(fixture.answers.empty());
}

TEST_CASE("A caller that leaves later cancels what runs") {
  GuardFixture fixture;
  const std::uint64_t number = fixture.Start("k1");
  fixture.guard.Cancel(number);
  CHECK(fixture.next.cancelled == std::vector<std::uint64_t>{1});
  fixture.guard.Cancel(number);
  CHECK(fixture.next.cancelled.size() == 1);
}

}  // namespace
}  // namespace banyanknot::coordination::routing_testing
