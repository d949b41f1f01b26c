#include "banyanknot/protocol/catalogue_codec.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <utility>

#include "banyanknot/protocol/json_reader.h"
#include "banyanknot/protocol/json_schema.h"

namespace banyanknot::protocol {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxEntryBytes = 1u << 20;
constexpr std::uint64_t kMaxUint64 = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMaxPort = 65535;

std::uint32_t ReadUint32Or(JsonReader& reader, const char* member,
                           std::uint32_t fallback) {
  return static_cast<std::uint32_t>(
      reader.UnsignedOr(member, fallback, kMaxUint32));
}

state::ServerEntry ReadServer(JsonReader& reader) {
  state::ServerEntry server;
  server.id = state::ServerId(reader.String("id"));
  server.domain = state::FailureDomainId(reader.String("domain"));
  server.endpoint.address = reader.String("address");
  server.endpoint.port =
      static_cast<std::uint16_t>(reader.Unsigned("port", kMaxPort));
  server.slots = ReadUint32Or(reader, "slots", server.slots);
  server.connections = ReadUint32Or(reader, "connections", server.connections);
  server.cold_slots = ReadUint32Or(reader, "cold_slots", server.cold_slots);
  server.warm_up = reader.MillisecondsOr("warm_up_ms", server.warm_up);
  return server;
}

state::ShardEntry ReadShard(JsonReader& reader) {
  state::ShardEntry shard;
  shard.id = static_cast<std::uint32_t>(reader.Unsigned("id", kMaxUint32));
  shard.range = {reader.Unsigned("begin", kMaxUint64),
                 reader.Unsigned("end", kMaxUint64)};
  for (const json& replica : reader.ArrayOrEmpty("replicas")) {
    if (!replica.is_string()) {
      reader.Fail(ProtocolErrorCode::kWrongType, "replicas",
                  "must hold server ids");
      break;
    }
    shard.replicas.emplace_back(replica.get<std::string>());
  }
  return shard;
}

state::ServiceLimits ReadLimits(const json& value, JsonReader& parent) {
  state::ServiceLimits limits;
  if (value.is_null()) return limits;
  JsonReader reader(value, "/limits");
  limits.max_in_flight =
      ReadUint32Or(reader, "max_in_flight", limits.max_in_flight);
  limits.default_deadline =
      reader.MillisecondsOr("default_deadline_ms", limits.default_deadline);
  limits.max_deadline =
      reader.MillisecondsOr("max_deadline_ms", limits.max_deadline);
  limits.min_coverage =
      reader.FractionOr("coverage_floor", limits.min_coverage);
  parent.Adopt(reader);
  return limits;
}

state::ServiceEntry ReadService(JsonReader& reader) {
  state::ServiceEntry service;
  service.id = state::ServiceId(reader.String("id"));
  service.owner = reader.String("owner");
  const std::optional<state::ServiceClass> service_class =
      state::FindValue(state::kServiceClassNames, reader.String("class"));
  if (!service_class) {
    reader.Fail(ProtocolErrorCode::kUnknownName, "class", "no such class");
  } else {
    service.service_class = *service_class;
  }
  service.limits = ReadLimits(reader.AnyOrNull("limits"), reader);
  std::size_t index = 0;
  for (const json& item : reader.ArrayOrEmpty("servers")) {
    JsonReader nested(item, "/servers/" + std::to_string(index++));
    service.servers.push_back(ReadServer(nested));
    reader.Adopt(nested);
  }
  index = 0;
  for (const json& item : reader.ArrayOrEmpty("shards")) {
    JsonReader nested(item, "/shards/" + std::to_string(index++));
    service.shards.push_back(ReadShard(nested));
    reader.Adopt(nested);
  }
  if (!service.shards.empty()) {
    service.key_space = {service.shards.front().range.begin,
                         service.shards.back().range.end};
  }
  return service;
}

state::FailureDomainEntry ReadDomain(JsonReader& reader) {
  state::FailureDomainEntry domain;
  domain.id = state::FailureDomainId(reader.String("id"));
  domain.owner = reader.String("owner");
  domain.region = reader.StringOr("region", "");
  const std::optional<state::DomainState> domain_state =
      state::FindValue(state::kDomainStateNames, reader.String("state"));
  if (!domain_state) {
    reader.Fail(ProtocolErrorCode::kUnknownName, "state", "no such state");
  } else {
    domain.domain_state = *domain_state;
  }
  return domain;
}

state::FleetPolicy ReadFleet(JsonReader& reader) {
  state::FleetPolicy policy;
  policy.owner = reader.String("owner");
  policy.hedge_quantile =
      reader.FractionOr("hedge_quantile", policy.hedge_quantile);
  policy.hedge_budget = reader.FractionOr("hedge_budget", policy.hedge_budget);
  policy.retry_budget = reader.FractionOr("retry_budget", policy.retry_budget);
  policy.leave_grace =
      reader.MillisecondsOr("leave_grace_ms", policy.leave_grace);
  policy.stop_timeout =
      reader.MillisecondsOr("stop_bound_ms", policy.stop_timeout);
  return policy;
}

std::vector<coordination::EntryFault> SingleFault(std::string pointer,
                                                  std::string reason) {
  return {{std::move(pointer), std::move(reason)}};
}

/// Validates an entry as the only one of a catalogue, since the schema
/// describes whole catalogues. The pointers of the faults are relative to the
/// entry.
std::vector<coordination::EntryFault> CheckSchema(const std::string& key,
                                                  const json& entry) {
  static const JsonSchema* const kSchema =
      new JsonSchema(CatalogueSchemaText());
  std::vector<coordination::EntryFault> faults =
      kSchema->Check(json{{key, entry}});
  const std::string prefix = "/" + key;
  for (coordination::EntryFault& fault : faults) {
    if (fault.pointer.rfind(prefix, 0) == 0) {
      fault.pointer.erase(0, prefix.size());
    }
  }
  return faults;
}

std::string IdInKey(const std::string& key) {
  const std::size_t slash = key.find('/');
  return slash == std::string::npos ? "" : key.substr(slash + 1);
}

}  // namespace

coordination::EntryResult CatalogueCodec::Decode(
    const std::string& key, const std::string& text) const {
  const state::Result<json, ProtocolError> parsed =
      ParseJson(text, kMaxEntryBytes);
  if (!state::IsOk(parsed)) {
    return SingleFault("", state::ErrorOf(parsed).reason);
  }
  std::vector<coordination::EntryFault> faults =
      CheckSchema(key, state::ValueOf(parsed));
  if (!faults.empty()) return faults;
  JsonReader reader(state::ValueOf(parsed), "");
  state::CatalogueContent content;
  std::string id;
  if (key == "fleet") {
    content = ReadFleet(reader);
  } else if (key.rfind("service/", 0) == 0) {
    state::ServiceEntry service = ReadService(reader);
    id = service.id.Text();
    content = std::move(service);
  } else if (key.rfind("domain/", 0) == 0) {
    state::FailureDomainEntry domain = ReadDomain(reader);
    id = domain.id.Text();
    content = std::move(domain);
  } else {
    return SingleFault("", "key is not fleet, service/ID or domain/ID");
  }
  if (reader.Error()) {
    return SingleFault(reader.Error()->pointer, reader.Error()->reason);
  }
  if (id != IdInKey(key)) return SingleFault("/id", "differs from the key");
  return content;
}

}  // namespace banyanknot::protocol
