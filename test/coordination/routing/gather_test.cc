#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "coordination/routing/relay_world.h"

namespace banyanknot::coordination::routing_testing {
namespace {

using state::RelayOutcome;

std::string Record(char letter) { return std::string(16, letter); }

/// A world of shards whose servers answer with one record each.
struct GatherWorld {
  explicit GatherWorld(std::size_t shards, double floor,
                       std::size_t replicas = 2) {
    this->world.PutRoutes({RelayWorld::GatherRoute(shards, floor)});
    this->world.PutShardServers(shards, replicas);
    this->world.client.script = [this](const RelaySend& send) {
      const std::string& id = send.server.Text();
      for (const std::string& prefix : this->dark) {
        if (id.rfind(prefix, 0) == 0) {
          return Reaction{Milliseconds(20'000), RelayFailure::kTimeout};
        }
      }
      return Reaction{Milliseconds(10),
                      GoodReply(send, Record(id[5]) + Record('!') + "rest")};
    };
  }
  std::set<std::string> dark;  // shards or servers that answer nothing
  RelayWorld world;
};

TEST_CASE("A gather merges the greatest records of every shard") {
  GatherWorld gather(6, 1.0);
  const Ended ended = gather.world.Run("/gather/1");
  CHECK(ended.answer.outcome == RelayOutcome::kWhole);
  CHECK(ended.answer.missing == 0);
  CHECK(ended.answer.signatures.size() == 6);
  CHECK(ended.answer.body ==
        Record('5') + Record('4') + Record('3') + Record('2'));
  CHECK(gather.world.client.sent.size() == 6);
}

TEST_CASE("A dark shard is left out in time for the objective") {
  GatherWorld gather(10, 0.8);
  gather.dark = {"shard3"};
  const Ended ended = gather.world.Run("/gather/1");
  CHECK(ended.answer.outcome == RelayOutcome::kPartial);
  CHECK(ended.answer.missing == 1);
  CHECK(ended.answer.signatures.size() == 9);
  CHECK(ended.after < Milliseconds(150));
}

TEST_CASE("An answer below its floor is none, and is given up truly") {
  GatherWorld gather(10, 0.9);
  gather.dark = {"shard3", "shard4"};
  const Ended ended = gather.world.Run("/gather/1");
  CHECK(ended.answer.outcome == RelayOutcome::kTimedOut);
  CHECK(ended.answer.signatures.empty());
  CHECK(ended.after <= Milliseconds(800));
  CHECK(gather.world.client.withdrawn > 0);
}

TEST_CASE("A gather that can't reach its floor is not started") {
  GatherWorld gather(10, 0.9);
  for (const char* id : {"shard1-0", "shard1-1", "shard2-0", "shard2-1"}) {
    gather.world.Publish(ServerRemoval{state::InstanceId(id)});
  }
  const Ended ended = gather.world.Run("/gather/1");
  CHECK(ended.answer.outcome == RelayOutcome::kNotRun);
  CHECK(ended.answer.retry_after.count() > 0);
  CHECK(ended.after.count() == 0);
  CHECK(gather.world.client.sent.empty());
}

TEST_CASE("A gather that falls below its floor on the way fails at once") {
  GatherWorld gather(4, 1.0);
  gather.world.client.script = [](const RelaySend& send) {
    if (send.server.Text().rfind("shard1", 0) == 0) {
      return Reaction{Milliseconds(5), FailureReply(500, "s")};
    }
    return Reaction{Milliseconds(300), GoodReply(send, "")};
  };
  const Ended ended = gather.world.Run("/gather/1");
  CHECK(ended.answer.outcome == RelayOutcome::kFailed);
  CHECK(ended.after <= Milliseconds(20));
  CHECK(gather.world.client.withdrawn == 3);
}

TEST_CASE("A failure, another's reply or a known signature is no part") {
  const std::vector<std::function<RelayReply(const RelaySend&)>> replies = {
      [](const RelaySend& /*send*/) { return FailureReply(500, "signed"); },
      [](const RelaySend& send) {
        RelayReply reply = GoodReply(send, "");
        reply.is_other_request = true;
        return reply;
      },
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
    GatherWorld gather(4, 0.5);
    gather.world.client.script = [&bad](const RelaySend& send) {
      const bool is_bad = send.server.Text().rfind("shard3", 0) == 0;
      return Reaction{Milliseconds(is_bad ? 12 : 10),
                      is_bad ? bad(send) : GoodReply(send, "")};
    };
    const Ended ended = gather.world.Run("/gather/1");
    CHECK(ended.answer.outcome == RelayOutcome::kPartial);
    CHECK(ended.answer.missing == 1);
    CHECK(ended.answer.signatures.size() == 3);
  }
}

TEST_CASE("All parts are of the version in force when the request came") {
  GatherWorld gather(4, 1.0);
  const std::shared_ptr<Ended> ended = gather.world.Start("/gather/1");
  gather.world.time.Advance(Milliseconds(1));
  gather.world.PutRoutes({RelayWorld::GatherRoute(8, 1.0)}, 2);
  gather.world.time.Advance(Milliseconds(100));
  REQUIRE(ended->is_answered);
  CHECK(ended->answer.signatures.size() == 4);
  CHECK(ended->answer.outcome == RelayOutcome::kWhole);
}

TEST_CASE("A paused server is hedged and its part comes in time") {
  GatherWorld gather(6, 1.0);
  for (int index = 0; index < 40; ++index) {
    gather.world.Run("/gather/1");
  }
  gather.dark = {"shard2-0"};
  const Ended ended = gather.world.Run("/gather/1");
  CHECK(ended.answer.outcome == RelayOutcome::kWhole);
  CHECK(ended.after < Milliseconds(60));
}

TEST_CASE("A hedge that finds no room is tried again") {
  GatherWorld gather(4, 0.5);
  gather.dark = {"shard2-0"};
  const TrackedServerPtr other = gather.world.servers.Pick(
      state::ServiceId("shard2"), {state::InstanceId("shard2-0")},
      gather.world.time.Now());
  REQUIRE(other != nullptr);
  const state::TimePoint taken_at = gather.world.time.Now();
  other->SetConnectionLimit(1);  // its only place is taken
  const std::shared_ptr<Ended> ended = gather.world.Start("/gather/1");
  gather.world.time.Advance(Milliseconds(60));
  CHECK_FALSE(ended->is_answered);
  other->Release(AttemptOutcome::kReplied, taken_at, gather.world.time.Now(),
                 std::nullopt);
  gather.world.time.Advance(Milliseconds(60));
  REQUIRE(ended->is_answered);
  CHECK(ended->answer.outcome == state::RelayOutcome::kWhole);
}

TEST_CASE("The greatest records are kept, equal ones too") {
  rc::check([](const std::vector<std::string>& texts) {
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
  });
}

}  // namespace
}  // namespace banyanknot::coordination::routing_testing
