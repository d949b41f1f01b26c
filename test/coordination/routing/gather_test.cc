#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "coordination/routing/relay_fixture.h"

namespace banyanknot::coordination::routing_testing {
namespace {

using state::RelayOutcome;

std::string Record(char letter) { return std::string(16, letter); }

/// Shards whose servers reply with a record of their own and a low one.
struct GatherFixture {
  explicit GatherFixture(std::size_t shards, double min_coverage,
                         std::size_t replicas = 2) {
    this->fixture.PutRoutes({RelayFixture::GatherRoute(shards, min_coverage)});
    this->fixture.PutShardServers(shards, replicas);
    this->fixture.client.script = [this](const RelaySend& send) {
      const std::string& id = send.server.Text();
      for (const std::string& prefix : this->unresponsive) {
        if (id.rfind(prefix, 0) == 0) {
          return Reaction{Milliseconds(20'000), RelayFailure::kTimeout};
        }
      }
      return Reaction{Milliseconds(10),
                      GoodReply(send, Record(id[5]) + Record('!') + "rest")};
    };
  }
  std::set<std::string> unresponsive;  // shards or servers that don't reply
  RelayFixture fixture;
};

TEST_CASE("A gather merges the greatest records of every shard") {
  GatherFixture gather(6, 1.0);
  const RequestResult result = gather.fixture.Run("/gather/1");
  CHECK(result.answer.outcome == RelayOutcome::kWhole);
  CHECK(result.answer.missing == 0);
  CHECK(result.answer.signatures.size() == 6);
  CHECK(result.answer.body ==
        Record('5') + Record('4') + Record('3') + Record('2'));
  CHECK(gather.fixture.client.sent.size() == 6);
}

TEST_CASE("An unresponsive shard is left out in time for the objective") {
  GatherFixture gather(10, 0.8);
  gather.unresponsive = {"shard3"};
  const RequestResult result = gather.fixture.Run("/gather/1");
  CHECK(result.answer.outcome == RelayOutcome::kPartial);
  CHECK(result.answer.missing == 1);
  CHECK(result.answer.signatures.size() == 9);
  CHECK(result.after < Milliseconds(150));
}

TEST_CASE(
    "A gather below its minimum coverage times out and cancels its requests") {
  GatherFixture gather(10, 0.9);
  gather.unresponsive = {"shard3", "shard4"};
  const RequestResult result = gather.fixture.Run("/gather/1");
  CHECK(result.answer.outcome == RelayOutcome::kTimedOut);
  CHECK(result.answer.signatures.empty());
  CHECK(result.after <= Milliseconds(800));
  CHECK(gather.fixture.client.cancelled > 0);
}

TEST_CASE("A gather that can't reach its minimum coverage is not started") {
  GatherFixture gather(10, 0.9);
  for (const char* id : {"shard1-0", "shard1-1", "shard2-0", "shard2-1"}) {
    gather.fixture.Publish(ServerRemoval{state::InstanceId(id)});
  }
  const RequestResult result = gather.fixture.Run("/gather/1");
  CHECK(result.answer.outcome == RelayOutcome::kNotRun);
  CHECK(result.answer.retry_after.count() > 0);
  CHECK(result.after.count() == 0);
  CHECK(gather.fixture.client.sent.empty());
}

TEST_CASE("A gather fails as soon as its minimum coverage is out of reach") {
  GatherFixture gather(4, 1.0);
  gather.fixture.client.script = [](const RelaySend& send) {
    if (send.server.Text().rfind("shard1", 0) == 0) {
      return Reaction{Milliseconds(5), FailureReply(500, "s")};
    }
    return Reaction{Milliseconds(300), GoodReply(send, "")};
  };
  const RequestResult result = gather.fixture.Run("/gather/1");
  CHECK(result.answer.outcome == RelayOutcome::kFailed);
  CHECK(result.after <= Milliseconds(20));
  CHECK(gather.fixture.client.cancelled == 3);
}

TEST_CASE("Failed, duplicate and encoded replies are not merged") {
  const std::vector<std::function<RelayReply(const RelaySend&)>> replies = {
      [](const RelaySend& /*send*/) { return FailureReply(500, "signed"); },
      [](const RelaySend& send) {
        RelayReply reply = GoodReply(send, "");
        reply.signature = "shard0-0/" + send.request->id;
        return reply;
      },
      [](const RelaySend& send) {
        RelayReply reply = GoodReply(send, "");
        reply.is_encoded = true;
        return reply;
      }};
  for (const std::function<RelayReply(const RelaySend&)>& bad : replies) {
    GatherFixture gather(4, 0.5);
    gather.fixture.client.script = [&bad](const RelaySend& send) {
      const bool is_bad = send.server.Text().rfind("shard3", 0) == 0;
      return Reaction{Milliseconds(is_bad ? 12 : 10),
                      is_bad ? bad(send) : GoodReply(send, "")};
    };
    const RequestResult result = gather.fixture.Run("/gather/1");
    CHECK(result.answer.outcome == RelayOutcome::kPartial);
    CHECK(result.answer.missing == 1);
    CHECK(result.answer.signatures.size() == 3);
  }
}

TEST_CASE("All parts use the route table in force when the request came") {
  GatherFixture gather(4, 1.0);
  const std::shared_ptr<RequestResult> result =
      gather.fixture.Start("/gather/1");
  gather.fixture.time.Advance(Milliseconds(1));
  gather.fixture.PutRoutes({RelayFixture::GatherRoute(8, 1.0)}, 2);
  gather.fixture.time.Advance(Milliseconds(100));
  REQUIRE(result->is_answered);
  CHECK(result->answer.signatures.size() == 4);
  CHECK(result->answer.outcome == RelayOutcome::kWhole);
}

TEST_CASE("A request to a stalled server is hedged in time") {
  GatherFixture gather(6, 1.0);
  for (int index = 0; index < 40; ++index) {
    gather.fixture.Run("/gather/1");
  }
  gather.unresponsive = {"shard2-0"};
  const RequestResult result = gather.fixture.Run("/gather/1");
  CHECK(result.answer.outcome == RelayOutcome::kWhole);
  CHECK(result.after < Milliseconds(60));
}

TEST_CASE("A hedge without capacity is retried") {
  GatherFixture gather(4, 0.5);
  gather.unresponsive = {"shard2-0"};
  const TrackedServerPtr other = gather.fixture.servers.Pick(
      state::ServiceId("shard2"), {state::InstanceId("shard2-0")},
      gather.fixture.time.Now());
  REQUIRE(other != nullptr);
  const state::TimePoint taken_at = gather.fixture.time.Now();
  other->SetConnectionLimit(1);  // its only slot is taken
  const std::shared_ptr<RequestResult> result =
      gather.fixture.Start("/gather/1");
  gather.fixture.time.Advance(Milliseconds(60));
  CHECK_FALSE(result->is_answered);
  other->Release(AttemptOutcome::kReplied, taken_at, gather.fixture.time.Now(),
                 std::nullopt);
  gather.fixture.time.Advance(Milliseconds(60));
  REQUIRE(result->is_answered);
  CHECK(result->answer.outcome == state::RelayOutcome::kWhole);
}

TEST_CASE("The greatest records are kept, including duplicates") {
  CHECK(rc::check([](const std::vector<std::string>& texts) {
    TopRecordMerger merger(5);
    std::vector<std::string> all;
    for (const std::string& text : texts) {
      merger.Add(text);
      for (std::size_t at = 0; at + 16 <= text.size(); at += 16) {
        all.push_back(text.substr(at, 16));
      }
      const std::string twice = Record('q') + Record('q');
      merger.Add(twice);
      all.push_back(Record('q'));
      all.push_back(Record('q'));
    }
    std::sort(all.begin(), all.end(),
              [](const std::string& left, const std::string& right) {
                return std::lexicographical_compare(
                    right.begin(), right.end(), left.begin(), left.end(),
                    [](char a, char b) {
                      return static_cast<unsigned char>(a) <
                             static_cast<unsigned char>(b);
                    });
              });
    std::string expected;
    for (std::size_t at = 0; at < all.size() && at < 5; ++at) {
      expected += all[at];
    }
    RC_ASSERT(merger.Merged() == expected);
  }));
}

}  // namespace
}  // namespace banyanknot::coordination::routing_testing
