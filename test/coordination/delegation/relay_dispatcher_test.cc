#include "banyanknot/coordination/delegation/relay_dispatcher.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "coordination/routing/relay_fixture.h"

namespace banyanknot::coordination::routing_testing {
namespace {

using state::RelayOutcome;

/// Another host, with a scripted response to each delegated request.
class ScriptedHostLink : public HostLink {
 public:
  struct Response {
    state::Duration after = Milliseconds(10);
    DelegationResult result = RelayReply();
  };

  explicit ScriptedHostLink(fleet_testing::VirtualTime& time) : time(time) {}

  std::shared_ptr<RelayCall> Delegate(const state::Endpoint& /*host*/,
                                      DelegatedRequest request,
                                      DelegationHandler handler) override {
    this->delegated.push_back(request);
    const std::shared_ptr<Call> call = std::make_shared<Call>(*this);
    this->time.RunAt(
        this->time.Now() + this->response.after,
        [call, response = this->response, handler = std::move(handler)] {
          if (!call->is_cancelled) handler(response.result);
        });
    return call;
  }
  void ExchangeAdverts(const state::Endpoint& /*host*/,
                       const state::HostAdvert& /*own*/,
                       AdvertsHandler handler) override {
    handler(std::nullopt);
  }
  void FollowChanges(const state::Endpoint& /*host*/,
                     const state::SourcePosition& /*after*/,
                     state::Duration /*wait*/,
                     ChangesHandler handler) override {
    handler(std::nullopt);
  }
  void ReadSnapshot(const state::Endpoint& /*host*/,
                    ChangesHandler handler) override {
    handler(std::nullopt);
  }

  Response response;
  std::vector<DelegatedRequest> delegated;
  int cancelled = 0;

 private:
  struct Call : RelayCall {
    explicit Call(ScriptedHostLink& link) : link(link) {}
    void Cancel() override {
      if (!this->is_cancelled) ++this->link.cancelled;
      this->is_cancelled = true;
    }
    ScriptedHostLink& link;
    bool is_cancelled = false;
  };

  fleet_testing::VirtualTime& time;
};

/// A small host that knows one roomy host, and serves a gather and a relayed
/// route.
struct DispatchFixture {
  DispatchFixture() {
    this->local.PutRoutes(
        {RelayFixture::GatherRoute(8, 0.5), RelayFixture::RelayRoute(true)},
        kVersion);
    this->local.PutShardServers(8, 2);
    this->local.Publish(this->local.Server("d1", "desk"));
    this->Hear();
    RelayReply answer;
    answer.status = 200;
    answer.body = "from the gatherer";
    this->link.response.result = answer;
  }
  void Hear() {
    this->roster.Hear(Advert("roomy", 0.5), this->local.time.Now());
  }
  static state::HostAdvert Advert(const char* id, double cores) {
    state::HostAdvert advert;
    advert.id = state::HostId(id);
    advert.domain = state::FailureDomainId("a");
    advert.cores = cores;
    advert.takes_work = true;
    return advert;
  }
  std::shared_ptr<RequestResult> Start(
      const std::string& path, state::Duration deadline = Milliseconds(800)) {
    state::RelayRequest request;
    request.id = "r" + std::to_string(++this->requests);
    request.method = "GET";
    request.host = "h.example";
    request.target = path;
    request.deadline = deadline;
    request.received_at = this->local.time.Now();
    const std::shared_ptr<RequestResult> ended =
        std::make_shared<RequestResult>();
    ended->number = this->dispatcher.Run(
        std::move(request), [this, ended, started = this->local.time.Now()](
                                const RelayAnswer& answer) {
          REQUIRE_FALSE(ended->is_answered);
          ended->is_answered = true;
          ended->answer = answer;
          ended->after = this->local.time.Now() - started;
        });
    return ended;
  }

  static constexpr std::uint64_t kVersion = 7;
  RelayFixture local;
  ScriptedHostLink link{local.time};
  GathererRoster roster{Advert("own", 0.12)};
  RelayDispatcher dispatcher{local.time,   local.time,     link,     roster,
                             local.routes, local.executor, local.log};
  int requests = 0;
};

TEST_CASE("A gather is passed on whole and answered as the gatherer did") {
  DispatchFixture fixture;
  const std::shared_ptr<RequestResult> result = fixture.Start("/gather/1");
  CHECK(fixture.dispatcher.Unanswered() == 1);
  fixture.local.time.Advance(Milliseconds(20));
  REQUIRE(result->is_answered);
  CHECK(result->answer.outcome == RelayOutcome::kAnswered);
  CHECK(result->answer.reply.body == "from the gatherer");
  REQUIRE(fixture.link.delegated.size() == 1);
  CHECK(fixture.link.delegated[0].routes_version == DispatchFixture::kVersion);
  CHECK(fixture.local.client.sent.empty());
  CHECK(fixture.dispatcher.Unanswered() == 0);
}

TEST_CASE("Everything but gathers runs at the host that received it") {
  DispatchFixture fixture;
  const std::shared_ptr<RequestResult> relayed = fixture.Start("/relay/1");
  const std::shared_ptr<RequestResult> unknown = fixture.Start("/none/1");
  fixture.local.time.Advance(Milliseconds(100));
  CHECK(relayed->answer.outcome == RelayOutcome::kAnswered);
  CHECK(fixture.local.client.sent.size() == 1);
  CHECK(unknown->answer.outcome == RelayOutcome::kNoRoute);
  CHECK(fixture.link.delegated.empty());
}

TEST_CASE("A gather that was not started elsewhere runs here") {
  for (const DelegationFailure failure :
       {DelegationFailure::kDeclined, DelegationFailure::kUnreachable}) {
    INFO(NameOf(failure));
    DispatchFixture fixture;
    fixture.link.response.result = failure;
    const std::shared_ptr<RequestResult> result = fixture.Start("/gather/1");
    fixture.local.time.Advance(Milliseconds(200));
    CHECK(result->answer.outcome == RelayOutcome::kWhole);
    CHECK(fixture.local.client.sent.size() == 8);
    // A host that declines is in order; one out of reach is left alone.
    fixture.Start("/gather/2");
    fixture.local.time.Advance(Milliseconds(200));
    CHECK(fixture.link.delegated.size() ==
          (failure == DelegationFailure::kDeclined ? 2 : 1));
    CHECK(fixture.dispatcher.Unanswered() == 0);
  }
}

TEST_CASE("A gather that may have started elsewhere is not run again") {
  for (const DelegationFailure failure :
       {DelegationFailure::kLost, DelegationFailure::kTimeout}) {
    INFO(NameOf(failure));
    DispatchFixture fixture;
    fixture.link.response.result = failure;
    const std::shared_ptr<RequestResult> result = fixture.Start("/gather/1");
    fixture.local.time.Advance(Milliseconds(200));
    REQUIRE(result->is_answered);
    // Neither says that the request has not run.
    CHECK((result->answer.outcome == RelayOutcome::kFailed ||
           result->answer.outcome == RelayOutcome::kTimedOut));
    CHECK(fixture.local.client.sent.empty());
    const std::shared_ptr<RequestResult> next = fixture.Start("/gather/2");
    fixture.local.time.Advance(Milliseconds(200));
    CHECK(next->answer.outcome == RelayOutcome::kWhole);
    CHECK(fixture.link.delegated.size() == 1);
  }
}

TEST_CASE("A gatherer that falls silent is avoided before its requests end") {
  DispatchFixture fixture;
  fixture.link.response = {Milliseconds(700), DelegationFailure::kTimeout};
  const std::shared_ptr<RequestResult> silent = fixture.Start("/gather/1");
  fixture.local.time.Advance(Milliseconds(200));  // objective 150 ms
  CHECK_FALSE(silent->is_answered);
  const std::shared_ptr<RequestResult> next = fixture.Start("/gather/2");
  fixture.local.time.Advance(Milliseconds(100));
  CHECK(next->answer.outcome == RelayOutcome::kWhole);
  CHECK(fixture.link.delegated.size() == 1);
}

TEST_CASE("A caller that leaves cancels its gather wherever it runs") {
  DispatchFixture fixture;
  const std::shared_ptr<RequestResult> away = fixture.Start("/gather/1");
  fixture.dispatcher.Cancel(away->number);
  CHECK(fixture.link.cancelled == 1);
  fixture.link.response = {Milliseconds(2), DelegationFailure::kDeclined};
  const std::shared_ptr<RequestResult> returned = fixture.Start("/gather/2");
  fixture.local.time.Advance(Milliseconds(4));
  REQUIRE(fixture.local.client.sent.size() == 8);
  fixture.dispatcher.Cancel(returned->number);
  CHECK(fixture.local.client.cancelled == 8);
  const std::shared_ptr<RequestResult> relayed = fixture.Start("/relay/3");
  fixture.dispatcher.Cancel(relayed->number);
  CHECK(fixture.local.client.cancelled == 9);
  fixture.local.time.Advance(Milliseconds(3'000));
  CHECK_FALSE(away->is_answered);
  CHECK_FALSE(returned->is_answered);
  CHECK(fixture.dispatcher.Unanswered() == 0);
}

TEST_CASE("A gather cancelled while it returns does not run here") {
  DispatchFixture fixture;
  fixture.link.response = {Milliseconds(5), DelegationFailure::kDeclined};
  const std::shared_ptr<RequestResult> result = fixture.Start("/gather/1");
  fixture.local.time.Advance(Milliseconds(2));
  fixture.dispatcher.Cancel(result->number);
  fixture.local.time.Advance(Milliseconds(1'000));
  CHECK(fixture.local.client.sent.empty());
}

TEST_CASE("The gatherer gets less time, by what the second host needs") {
  DispatchFixture fixture;
  fixture.Start("/gather/1");
  REQUIRE(fixture.link.delegated.size() == 1);
  const state::RelayRequest& passed = *fixture.link.delegated[0].request;
  REQUIRE(passed.outside_time);
  CHECK(*passed.outside_time > RelayDeadlines::kDefaultOutsideTime);
  CHECK(passed.deadline == Milliseconds(800));
}

}  // namespace
}  // namespace banyanknot::coordination::routing_testing
