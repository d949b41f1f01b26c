#include "banyanknot/protocol/platform_codec.h"

#include <cstdint>
#include <limits>
#include <utility>

#include "banyanknot/protocol/json_reader.h"

namespace banyanknot::protocol {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxUpdateBytes = 64u << 20;
constexpr std::uint64_t kMaxUint64 = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t kMaxPort = 65535;

state::Endpoint ReadEndpoint(JsonReader& reader, const char* port_member) {
  return {reader.String("address"),
          static_cast<std::uint16_t>(reader.Unsigned(port_member, kMaxPort))};
}

}  // namespace

std::string EncodeUpdate(const coordination::RawUpdate& update) {
  json entries = json::array();
  for (const coordination::RawEntry& entry : update.entries) {
    json item = {{"key", entry.key},
                 {"revision", entry.revision},
                 {"deleted", entry.deleted}};
    if (!entry.deleted) item["value"] = entry.text;
    entries.push_back(std::move(item));
  }
  const json message = {{"revision", update.revision},
                        {"entries", std::move(entries)}};
  return message.dump();
}

state::Result<coordination::RawUpdate, ProtocolError> DecodeUpdate(
    const std::string& body) {
  const state::Result<json, ProtocolError> parsed =
      ParseJson(body, kMaxUpdateBytes);
  if (!state::IsOk(parsed)) return state::ErrorOf(parsed);
  JsonReader reader(state::ValueOf(parsed), "");
  coordination::RawUpdate update;
  update.revision = reader.Unsigned("revision", kMaxUint64);
  for (const json& item : reader.ArrayOrEmpty("entries")) {
    JsonReader nested(item, "/entries");
    coordination::RawEntry entry;
    entry.key = nested.String("key");
    entry.revision = nested.Unsigned("revision", kMaxUint64);
    entry.deleted = nested.BoolOr("deleted", false);
    if (!entry.deleted) entry.text = nested.String("value");
    reader.Adopt(nested);
    update.entries.push_back(std::move(entry));
  }
  if (reader.Error()) return *reader.Error();
  return update;
}

std::string EncodeHostList(const std::vector<state::ListedHost>& hosts) {
  json array = json::array();
  for (const state::ListedHost& host : hosts) {
    array.push_back({{"id", host.id.Text()},
                     {"domain", host.domain.Text()},
                     {"address", host.peer.address},
                     {"peer_port", host.peer.port},
                     {"caller_port", host.caller.port},
                     {"leaving", host.leaving}});
  }
  const json message = {{"hosts", std::move(array)}};
  return message.dump();
}

state::Result<std::vector<state::ListedHost>, ProtocolError> DecodeHostList(
    const std::string& body) {
  const state::Result<json, ProtocolError> parsed =
      ParseJson(body, kMaxUpdateBytes);
  if (!state::IsOk(parsed)) return state::ErrorOf(parsed);
  JsonReader reader(state::ValueOf(parsed), "");
  std::vector<state::ListedHost> hosts;
  for (const json& item : reader.ArrayOrEmpty("hosts")) {
    JsonReader nested(item, "/hosts");
    state::ListedHost host;
    host.id = state::HostId(nested.String("id"));
    host.domain = state::FailureDomainId(nested.String("domain"));
    host.peer = ReadEndpoint(nested, "peer_port");
    host.caller = ReadEndpoint(nested, "caller_port");
    host.leaving = nested.BoolOr("leaving", false);
    reader.Adopt(nested);
    hosts.push_back(std::move(host));
  }
  if (reader.Error()) return *reader.Error();
  return hosts;
}

}  // namespace banyanknot::protocol
