#include "banyanknot/protocol/peer_codec.h"

#include <flatbuffers/flatbuffers.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace banyanknot::protocol {
namespace {

using coordination::PeerEnvelope;
using coordination::PeerMessage;

state::ListedHost ExampleHost() {
  return {state::HostId("west-2"),
          state::FailureDomainId("west"),
          {"127.0.0.2", 7002},
          {"127.0.0.3", 8002},
          true};
}

coordination::HostUpdate ExampleHostUpdate() {
  return {ExampleHost(), 41, state::HostState::kDead, 6};
}

coordination::ServerUpdate ExampleServerUpdate() {
  return {state::ServerId("till-1"), state::InstanceId("i9"),
          state::ServerPhase::kLeaving, state::Milliseconds(1'234)};
}

coordination::EntryPatch ExamplePatch() {
  return {"fleet", 9, true, 8, 2, 3, "text", {{4, 5, "new"}}};
}

state::Action ExampleAction() {
  return {{state::HostId("west.2"), {0xABCDEF, 7}, 0xFEDC},
          state::ServiceId("swipes"),
          99,
          state::Milliseconds(250),
          R"({"plan":"gold"})"};
}

struct MessageRow {
  const char* name;
  PeerMessage message;
};

std::vector<MessageRow> ExampleMessages() {
  return {
      {"ping", coordination::PeerPing{5,
                                      ExampleHost(),
                                      {77, 88},
                                      {ExampleHostUpdate()},
                                      {ExampleServerUpdate()}}},
      {"pong",
       coordination::PeerPong{
           6, {78, 89}, {ExampleHostUpdate()}, {ExampleServerUpdate()}}},
      {"probe", coordination::PeerProbe{7, ExampleHost()}},
      {"probe result",
       coordination::PeerProbeResult{8, state::HostId("east-1"), 3, true}},
      {"goodbye", coordination::PeerGoodbye{}},
      {"news", coordination::PeerUpdates{{ExampleHostUpdate()},
                                         {ExampleServerUpdate()}}},
      {"offer", coordination::PeerOffer{{{"service/a", 4, 5}}}},
      {"pull", coordination::PeerPull{{{"service/b", 6, 7}}}},
      {"patches", coordination::PeerPatches{{ExamplePatch()}}},
      {"action",
       coordination::PeerAction{11, {"127.0.0.1", 9}, ExampleAction()}},
      {"action result",
       coordination::PeerActionResult{12,
                                      ExampleAction().ticket,
                                      {state::Outcome::kNotRun,
                                       "full",
                                       {{3, "4"}},
                                       state::Milliseconds(50)}}},
  };
}

PeerEnvelope MakeEnvelope(const PeerMessage& message) {
  return {state::HostId("east-9"), 1'000'000'007, message};
}

template <typename Message>
Message RoundTrip(const Message& message) {
  const state::Result<PeerEnvelope, ProtocolError> read =
      DecodePeer(EncodePeer(MakeEnvelope(message)));
  return std::get<Message>(state::ValueOf(read).message);
}

/// Encodes an envelope field by field, with fields and kinds that only a later
/// release may use.
std::string WriteEnvelope(std::uint8_t kind, bool with_body, bool with_from,
                          bool with_later_fields) {
  flatbuffers::FlatBufferBuilder builder;
  const flatbuffers::Offset<flatbuffers::String> from =
      builder.CreateString("later");
  flatbuffers::uoffset_t table = builder.StartTable();
  builder.AddElement<std::uint64_t>(4, 321, 0);
  if (with_later_fields) builder.AddElement<std::uint64_t>(40, 1, 0);
  const flatbuffers::Offset<void> body(builder.EndTable(table));
  table = builder.StartTable();
  if (with_from) builder.AddOffset(4, from);
  builder.AddElement<std::uint64_t>(6, 17, 0);
  builder.AddElement<std::uint8_t>(8, kind, 0);
  if (with_body) builder.AddOffset(10, body);
  if (with_later_fields) builder.AddElement<std::uint64_t>(12, 1, 0);
  builder.Finish(flatbuffers::Offset<void>(builder.EndTable(table)));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

TEST_CASE("Every kind of peer message survives a round trip") {
  for (const MessageRow& row : ExampleMessages()) {
    INFO(row.name);
    const std::string written = EncodePeer(MakeEnvelope(row.message));
    const state::Result<PeerEnvelope, ProtocolError> read = DecodePeer(written);
    REQUIRE(state::IsOk(read));
    const PeerEnvelope& envelope = state::ValueOf(read);
    CHECK(envelope.from == state::HostId("east-9"));
    CHECK(envelope.incarnation == 1'000'000'007);
    CHECK(envelope.message.index() == row.message.index());
    CHECK(EncodePeer(envelope) == written);
  }
}

TEST_CASE("Host updates, server updates and digests keep their members") {
  const coordination::PeerPing ping =
      RoundTrip(coordination::PeerPing{5,
                                       ExampleHost(),
                                       {77, 88},
                                       {ExampleHostUpdate()},
                                       {ExampleServerUpdate()}});
  CHECK(ping.sequence == 5);
  CHECK(ping.sender.id == ExampleHost().id);
  CHECK(ping.sender.domain == ExampleHost().domain);
  CHECK(ping.sender.peer == ExampleHost().peer);
  CHECK(ping.sender.caller == ExampleHost().caller);
  CHECK(ping.sender.leaving);
  CHECK(ping.digest.max_revision == 77);
  CHECK(ping.digest.hash == 88);
  REQUIRE(ping.host_updates.size() == 1);
  CHECK(ping.host_updates[0].incarnation == 41);
  CHECK(ping.host_updates[0].refutation == 6);
  CHECK(ping.host_updates[0].host_state == state::HostState::kDead);
  REQUIRE(ping.server_updates.size() == 1);
  CHECK(ping.server_updates[0].server == state::ServerId("till-1"));
  CHECK(ping.server_updates[0].instance == state::InstanceId("i9"));
  CHECK(ping.server_updates[0].phase == state::ServerPhase::kLeaving);
  CHECK(ping.server_updates[0].age == state::Milliseconds(1'234));
}

TEST_CASE("Patches and versions keep their members") {
  const coordination::PeerPatches patches =
      RoundTrip(coordination::PeerPatches{{ExamplePatch()}});
  REQUIRE(patches.patches.size() == 1);
  const coordination::EntryPatch& patch = patches.patches[0];
  CHECK(patch.key == "fleet");
  CHECK(patch.revision == 9);
  CHECK(patch.deleted);
  CHECK(patch.base_revision == 8);
  CHECK(patch.base_hash == 2);
  CHECK(patch.content_hash == 3);
  CHECK(patch.text == "text");
  REQUIRE(patch.splices.size() == 1);
  CHECK(patch.splices[0].offset == 4);
  CHECK(patch.splices[0].removed == 5);
  CHECK(patch.splices[0].inserted == "new");
  const coordination::PeerPull pull =
      RoundTrip(coordination::PeerPull{{{"service/b", 6, 7}}});
  REQUIRE(pull.have.size() == 1);
  CHECK(pull.have[0].key == "service/b");
  CHECK(pull.have[0].revision == 6);
  CHECK(pull.have[0].content_hash == 7);
}

TEST_CASE("Actions and their results keep their members") {
  const coordination::PeerAction sent{11, {"127.0.0.1", 9}, ExampleAction()};
  const coordination::PeerAction action = RoundTrip(sent);
  CHECK(action.call == 11);
  CHECK(action.reply_to == sent.reply_to);
  CHECK(action.action.ticket == sent.action.ticket);
  CHECK(action.action.service == sent.action.service);
  CHECK(action.action.key == 99);
  CHECK(action.action.deadline == state::Milliseconds(250));
  CHECK(action.action.ask == sent.action.ask);
  const coordination::PeerActionResult result =
      RoundTrip(coordination::PeerActionResult{
          12,
          ExampleAction().ticket,
          {state::Outcome::kFailed, "why", {{3, "4"}}, state::Duration(5)}});
  CHECK(result.call == 12);
  CHECK(result.ticket == ExampleAction().ticket);
  CHECK(result.reply.outcome == state::Outcome::kFailed);
  CHECK(result.reply.reason == "why");
  REQUIRE(result.reply.records.size() == 1);
  CHECK(result.reply.records[0].key == 3);
  CHECK(result.reply.records[0].value == "4");
  CHECK(result.reply.retry_after == state::Duration(5));
}

TEST_CASE("DecodePeer reports the error code of invalid messages") {
  struct Row {
    const char* name;
    std::string bytes;
    ProtocolErrorCode code;
  };
  const std::vector<Row> rows = {
      {"nothing", "", ProtocolErrorCode::kMalformed},
      {"text", "GET / HTTP/1.1\r\n\r\n", ProtocolErrorCode::kMalformed},
      {"zeros", std::string(64, '\0'), ProtocolErrorCode::kMalformed},
      {"all bits set", std::string(64, '\xff'), ProtocolErrorCode::kMalformed},
      {"too large", std::string(kMaxPeerMessageBytes + 1, 'x'),
       ProtocolErrorCode::kTooLarge},
      {"no body", WriteEnvelope(1, false, true, false),
       ProtocolErrorCode::kMalformed},
      {"no kind", WriteEnvelope(0, true, true, false),
       ProtocolErrorCode::kMalformed},
      {"no sender", WriteEnvelope(1, true, false, false),
       ProtocolErrorCode::kMalformed},
      {"action without a ticket", WriteEnvelope(10, true, true, false),
       ProtocolErrorCode::kMalformed},
      {"action result without a ticket", WriteEnvelope(11, true, true, false),
       ProtocolErrorCode::kMalformed},
      {"kind of a later release", WriteEnvelope(200, true, true, true),
       ProtocolErrorCode::kUnknownName},
  };
  for (const Row& row : rows) {
    INFO(row.name);
    const state::Result<PeerEnvelope, ProtocolError> read =
        DecodePeer(row.bytes);
    REQUIRE(!state::IsOk(read));
    CHECK(NameOf(state::ErrorOf(read).code) == NameOf(row.code));
  }
}

TEST_CASE("Fields added by a later release are ignored") {
  const state::Result<PeerEnvelope, ProtocolError> read =
      DecodePeer(WriteEnvelope(1, true, true, true));
  REQUIRE(state::IsOk(read));
  const PeerEnvelope& envelope = state::ValueOf(read);
  CHECK(envelope.from == state::HostId("later"));
  CHECK(std::get<coordination::PeerPing>(envelope.message).sequence == 321);
}

TEST_CASE("Fields missing from an earlier release get their defaults") {
  const state::Result<PeerEnvelope, ProtocolError> read =
      DecodePeer(WriteEnvelope(4, true, true, false));
  REQUIRE(state::IsOk(read));
  const coordination::PeerProbeResult& result =
      std::get<coordination::PeerProbeResult>(state::ValueOf(read).message);
  CHECK(result.sequence == 321);
  CHECK(result.target.IsEmpty());
  CHECK(!result.reachable);
}

TEST_CASE("DecodePeer rejects a message truncated at any length") {
  for (const MessageRow& row : ExampleMessages()) {
    const std::string written = EncodePeer(MakeEnvelope(row.message));
    for (std::size_t size = 0; size < written.size(); size += 3) {
      INFO(row.name << " cut to " << size << " of " << written.size());
      const state::Result<PeerEnvelope, ProtocolError> read =
          DecodePeer(std::string_view(written).substr(0, size));
      // Padding at the end carries no data.
      if (size + 8 < written.size()) CHECK(!state::IsOk(read));
    }
  }
}

TEST_CASE("Messages with overwritten bytes are decoded safely or rejected") {
  std::mt19937_64 random(20'251);
  std::size_t refused = 0;
  for (const MessageRow& row : ExampleMessages()) {
    const std::string written = EncodePeer(MakeEnvelope(row.message));
    for (int round = 0; round < 2'000; ++round) {
      std::string damaged = written;
      for (int change = 0; change < 3; ++change) {
        damaged[random() % damaged.size()] = static_cast<char>(random());
      }
      if (!state::IsOk(DecodePeer(damaged))) ++refused;
    }
  }
  CHECK(refused > 0);
}

}  // namespace
}  // namespace banyanknot::protocol
