#include "backend_behaviour.h"

#include <limits>

#include "banyanknot/protocol/json_reader.h"

namespace banyanknot::standins {
namespace {

using protocol::JsonReader;

constexpr std::uint64_t kAnyNumber = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t kAnySmallNumber =
    std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMaxPort = 65535;

void Change(JsonReader& reader, const char* member, std::uint32_t& number) {
  number = static_cast<std::uint32_t>(
      reader.UnsignedOr(member, number, kAnySmallNumber));
}

void Change(JsonReader& reader, const char* member, std::uint64_t& number) {
  number = reader.UnsignedOr(member, number, kAnyNumber);
}

void Change(JsonReader& reader, const char* member, state::Duration& time) {
  time = reader.MillisecondsOr(member, time);
}

void Change(JsonReader& reader, const char* member, bool& flag) {
  flag = reader.BoolOr(member, flag);
}

void ApplyServiceTime(JsonReader& reader, ServiceTime& service_time) {
  service_time.mean = std::chrono::microseconds(reader.UnsignedOr(
      "service_us",
      static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::microseconds>(
              service_time.mean)
              .count()),
      kAnySmallNumber));
  service_time.straggler_share =
      reader.FractionOr("straggler_share", service_time.straggler_share);
  Change(reader, "straggler_factor", service_time.straggler_factor);
  Change(reader, "slow_factor", service_time.slow_factor);
}

void ApplyColdStart(JsonReader& reader, ColdStart& cold_start) {
  Change(reader, "starts_cold", cold_start.starts_cold);
  Change(reader, "cold_slots", cold_start.cold_slots);
  Change(reader, "warm_up_ms", cold_start.warm_up);
  Change(reader, "fall_factor", cold_start.fall_factor);
  Change(reader, "fall_ms", cold_start.fall_time);
}

void ApplySnapshots(JsonReader& reader, SnapshotPolicy& snapshots) {
  Change(reader, "newest_snapshot", snapshots.newest);
  Change(reader, "kept_snapshots", snapshots.kept);
  Change(reader, "snapshot_advance_ms", snapshots.advance);
  Change(reader, "snapshot_lag_ms", snapshots.lag);
}

void ApplyShards(JsonReader& reader, std::vector<HeldShard>& shards) {
  if (reader.AnyOrNull("shards").is_null()) return;
  shards.clear();
  for (const nlohmann::json& item : reader.ArrayOrEmpty("shards")) {
    JsonReader nested(item, "/shards");
    HeldShard held;
    held.service = nested.String("service");
    held.shard =
        static_cast<std::uint32_t>(nested.Unsigned("shard", kAnySmallNumber));
    held.range = {nested.Unsigned("begin", kAnyNumber),
                  nested.Unsigned("end", kAnyNumber)};
    reader.Adopt(nested);
    shards.push_back(held);
  }
}

}  // namespace

std::optional<protocol::ProtocolError> ApplyBehaviour(
    const nlohmann::json& value, BackendBehaviour& behaviour) {
  JsonReader reader(value, "");
  behaviour.id = reader.StringOr("id", behaviour.id);
  behaviour.domain = reader.StringOr("domain", behaviour.domain);
  behaviour.port = static_cast<std::uint16_t>(
      reader.UnsignedOr("port", behaviour.port, kMaxPort));
  behaviour.max_connections = static_cast<std::size_t>(reader.UnsignedOr(
      "connections", behaviour.max_connections, kAnySmallNumber));
  Change(reader, "slots", behaviour.slots);
  Change(reader, "max_queue", behaviour.max_queue);
  Change(reader, "connect_ms", behaviour.connect_cost);
  Change(reader, "key_stride", behaviour.key_stride);
  Change(reader, "seed", behaviour.seed);
  behaviour.cross_domain_latency = std::chrono::microseconds(reader.UnsignedOr(
      "cross_domain_us",
      static_cast<std::uint64_t>(
          std::chrono::duration_cast<std::chrono::microseconds>(
              behaviour.cross_domain_latency)
              .count()),
      kAnySmallNumber));
  ApplyServiceTime(reader, behaviour.service_time);
  ApplyColdStart(reader, behaviour.cold_start);
  ApplySnapshots(reader, behaviour.snapshots);
  ApplyShards(reader, behaviour.shards);
  Change(reader, "draining", behaviour.draining);
  Change(reader, "drain_lag_ms", behaviour.drain_lag);
  Change(reader, "report_lag_ms", behaviour.report_lag);
  Change(reader, "claims_warm", behaviour.claims_warm);
  return reader.Error();
}

}  // namespace banyanknot::standins
